package org.tamarackfold.caller.quarantine;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.id.HostId;

/** Messages about suspected requests between entry hosts. The futures never fail. */
public interface QuarantineChannel {
    /**
     * What a host knows.
     *
     * @param digest differs at hosts that know something else
     * @param reports what the sender has learned of late, or all if the receiver lacks something
     */
    record Exchange(long digest, Vector<SuspicionReport> reports) {}

    /**
     * The answer to a request for a trial.
     *
     * @param reports what the host knows of the request
     */
    record TrialReply(TrialDecision decision, Vector<SuspicionReport> reports) {}

    /** Returns the entry hosts that can be reached, without this one. */
    Vector<HostId> others();

    /** Tells a host what this one knows; the reply is what that host knows, none if it is lost. */
    CompletableFuture<Option<Exchange>> exchange(HostId host, Exchange message);

    /** Asks a host for a trial; none if there is no reply. */
    CompletableFuture<Option<TrialReply>> requestTrial(HostId host, TrialKey key, Duration lease);

    /** Tells a host that a trial has ended, with what is known of the request now. */
    void endTrial(HostId host, TrialKey key, Vector<SuspicionReport> reports);
}
