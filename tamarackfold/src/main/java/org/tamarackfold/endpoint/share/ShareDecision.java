package org.tamarackfold.endpoint.share;

import java.time.Duration;

/** What happens to a stream because of the share of its customer. */
public sealed interface ShareDecision {
    /** No customer is known to be over its share of the service. */
    record Unaffected() implements ShareDecision {}

    /** Others are over their share of the service, the customer of the stream is not. */
    record Admitted() implements ShareDecision {}

    /**
     * The stream is sent, and endpoints are asked to serve it later.
     *
     * @param totalsAge the time since the totals arrived
     * @param orderIncrease by how much its order is raised
     */
    record Later(OverShare over, Duration totalsAge, int orderIncrease) implements ShareDecision {}

    /**
     * The stream is the first turn of a program, and is not sent.
     *
     * @param totalsAge the time since the totals arrived
     * @param drainTime the time in which the work over the share is done
     */
    record Refused(OverShare over, Duration totalsAge, Duration drainTime)
            implements ShareDecision {}
}
