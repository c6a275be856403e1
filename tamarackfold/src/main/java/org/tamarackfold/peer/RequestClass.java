package org.tamarackfold.peer;

/** How a request is treated when the receiving host is overloaded. */
enum RequestClass {
    /** Tells whether the host is alive; always sent at once. */
    PROBE,

    /** Completes work that has been accepted; waits until its timeout, ahead of new work. */
    ACCEPTED_WORK,

    /** Begins new work; rejected at once when too much of it waits. */
    NEW_WORK;

    static RequestClass of(PeerRequest request) {
        return switch (request) {
            case PeerRequest.Ping _ -> PROBE;
            case PeerRequest.Reserve _, PeerRequest.LookUp _ -> NEW_WORK;
            case PeerRequest.Settle _,
                    PeerRequest.Store _,
                    PeerRequest.Append _,
                    PeerRequest.Copy _,
                    PeerRequest.Collect _ ->
                    ACCEPTED_WORK;
            case PeerRequest.Relay(var _, PeerRequest relayed) -> of(relayed);
        };
    }
}
