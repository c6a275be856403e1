package org.tamarackfold.endpoint;

import io.vavr.control.Option;
import java.time.Duration;
import org.tamarackfold.endpoint.cost.Kept;

/** Result of selecting an endpoint for a call. */
public sealed interface Selection {
    /**
     * An endpoint was selected; the call counts as in flight there.
     *
     * @param inFlight the calls that this host has in flight there, including this one
     * @param rateLimit the limit that the endpoint stated last; none when it states none
     * @param reachable whether this host reaches the endpoint itself; otherwise another host must
     *     forward the call
     * @param kept what the endpoint is expected to have kept of the prompt, as far as it is known
     */
    record Selected(
            EndpointRecord endpoint,
            int inFlight,
            Option<StatedRateLimit> rateLimit,
            boolean reachable,
            Kept kept)
            implements Selection {}

    /**
     * Each eligible endpoint has a rate limit that leaves no call for this host now.
     *
     * @param expectedWait the mean time until one of them does
     */
    record RateLimited(Duration expectedWait) implements Selection {}

    /**
     * No endpoint is eligible: each one is draining, leaving or excluded, or none is registered.
     */
    record NoneEligible() implements Selection {}
}
