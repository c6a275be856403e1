package org.tamarackfold.caller.limit;

/** Which calls of a customer over its limit take precedence. */
public enum PermitKind {
    /** Begins a program; admitted only as often as the limit lets programs finish. */
    FIRST_TURN,

    /** Continues a program, or belongs to none. */
    OTHER
}
