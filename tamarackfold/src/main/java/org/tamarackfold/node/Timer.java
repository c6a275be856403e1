package org.tamarackfold.node;

import org.tamarackfold.id.CallKey;
import org.tamarackfold.id.DispatchId;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.ExchangeId;
import org.tamarackfold.id.Generation;
import org.tamarackfold.id.ProgramId;
import org.tamarackfold.peer.Ballot;

/** A timer of a node. */
public sealed interface Timer {
    /**
     * A claim has had no majority.
     *
     * @param program the program
     * @param generation the generation of the claim
     * @param key the call
     */
    record ClaimTimeout(ProgramId program, Generation generation, CallKey key) implements Timer {}

    /**
     * A takeover phase has had no majority.
     *
     * @param program the program
     * @param ballot the ballot
     */
    record TakeoverTimeout(ProgramId program, Ballot ballot) implements Timer {}

    /**
     * A forwarded call was not confirmed.
     *
     * @param exchange the exchange
     */
    record ForwardTimeout(ExchangeId exchange) implements Timer {}

    /**
     * The caller of an exchange waits no longer.
     *
     * @param exchange the exchange
     */
    record CallDeadline(ExchangeId exchange) implements Timer {}

    /**
     * A request for a slot was not answered.
     *
     * @param dispatch the dispatch
     */
    record AdmissionTimeout(DispatchId dispatch) implements Timer {}

    /**
     * An endpoint has not confirmed a release of memory.
     *
     * @param endpoint the endpoint
     * @param program the program
     */
    record ReleaseTimeout(EndpointId endpoint, ProgramId program) implements Timer {}

    /** Time to renew leases, drop expired records and compare what engines hold. */
    record Housekeeping() implements Timer {}
}
