package org.tamarackfold.peer;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Counts the acknowledgements of one append that was sent to several hosts. The result is true as
 * soon as enough members and all required hosts have acknowledged it, and false when all hosts have
 * replied without that. Thread-safe.
 */
final class AckTracker {
    /** Acknowledgements and replies that are still missing. */
    private record Outstanding(int memberAcks, int requiredAcks, int replies) {
        boolean isDecided() {
            return (memberAcks <= 0 && requiredAcks <= 0) || replies == 0;
        }
    }

    private final CompletableFuture<Boolean> result = new CompletableFuture<>();
    private final AtomicReference<Outstanding> outstanding;

    /**
     * Creates a tracker.
     *
     * @param memberAcks the acknowledgements needed from members other than the primary
     * @param requiredAcks the number of hosts that must all acknowledge
     * @param receivers the number of hosts to which the append is sent
     */
    AckTracker(int memberAcks, int requiredAcks, int receivers) {
        outstanding = new AtomicReference<>(new Outstanding(memberAcks, requiredAcks, receivers));
        completeIfDecided(outstanding.get());
    }

    /**
     * Counts the reply of one host, or its time-out.
     *
     * @param member whether the host counts toward the acknowledgements of members
     * @param required whether the host is one of those that must all acknowledge
     * @param acknowledged whether the host stored the records
     */
    void onReply(boolean member, boolean required, boolean acknowledged) {
        completeIfDecided(
                outstanding.updateAndGet(
                        o ->
                                new Outstanding(
                                        o.memberAcks() - (member && acknowledged ? 1 : 0),
                                        o.requiredAcks() - (required && acknowledged ? 1 : 0),
                                        o.replies() - 1)));
    }

    private void completeIfDecided(Outstanding current) {
        if (current.isDecided()) {
            result.complete(current.memberAcks() <= 0 && current.requiredAcks() <= 0);
        }
    }

    /** Returns the future result; it never fails. */
    CompletableFuture<Boolean> result() {
        return result;
    }
}
