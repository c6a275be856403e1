package org.tamarackfold.settings;

/** The role of a host process. */
public enum HostRole {
    /** Accepts calls and forwards them to endpoints; tells callers which entry hosts to use. */
    ENTRY,
    /** Stores the token budgets and turn histories of programs durably. */
    STORAGE
}
