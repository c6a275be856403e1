package org.tamarackfold.caller.http;

import io.vavr.control.Option;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.id.RequestFingerprint;

/** Learns of the breaks that a call meets, which may be ends of endpoints that it has crashed. */
sealed interface CrashWatch permits CallQuarantine, CrashWatch.Forwarded {
    /** Returns what identifies the request; none where the sender of a forwarded call is older. */
    Option<RequestFingerprint> fingerprint();

    /**
     * The connection to the endpoint broke while the call was there.
     *
     * @param recorded completes when the cause of the break is found and recorded
     */
    void onBroken(CompletableFuture<Void> recorded);

    /** Another host that has forwarded the call has not reported what became of it. */
    void onForwardingLost();

    /** The host to which the call belongs decides on it; this one only records what it sees. */
    record Forwarded(Option<RequestFingerprint> fingerprint) implements CrashWatch {
        @Override
        public void onBroken(CompletableFuture<Void> recorded) {}

        @Override
        public void onForwardingLost() {}
    }
}
