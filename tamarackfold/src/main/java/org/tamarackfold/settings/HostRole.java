package org.tamarackfold.settings;

/** What a process does. */
public enum HostRole {
    /** Takes the calls of callers and tells them where to connect. */
    ENTRY,
    /** Holds the durable state of programs. */
    STORAGE
}
