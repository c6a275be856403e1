package org.tamarackfold.peer;

/** Answer of a replica to a request about a program record. */
public enum Verdict {
    /** Done as requested. */
    GRANTED,
    /** Rejected: the generation is fenced by a takeover, or a higher ballot was promised. */
    FENCED,
    /**
     * Rejected: this replica was restarted since the replica set was formed and has lost the
     * record.
     */
    FORGOTTEN
}
