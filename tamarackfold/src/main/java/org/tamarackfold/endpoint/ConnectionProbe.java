package org.tamarackfold.endpoint;

/** What an attempt to open a connection shows about the process at an address. */
public sealed interface ConnectionProbe {
    /** A process accepts connections. */
    record Opened() implements ConnectionProbe {}

    /** The host of the address answers, and no process listens there. */
    record Refused() implements ConnectionProbe {}

    /** Nothing has answered: the host is down, or the path to it is cut. */
    record Unanswered() implements ConnectionProbe {}
}
