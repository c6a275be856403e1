package org.tamarackfold.peer;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Counts the acknowledgements of one append that was sent to several hosts. The result is true as
 * soon as enough members and all required hosts have acknowledged it, and false when every host has
 * replied or timed out without that. Thread-safe.
 */
final class AckTracker {
    /** Acknowledgements and replies that are still missing. */
    private record Outstanding(int missingMemberAcks, int missingRequiredAcks, int missingReplies) {
        boolean isDecided() {
            return (missingMemberAcks <= 0 && missingRequiredAcks <= 0) || missingReplies == 0;
        }
    }

    private final CompletableFuture<Boolean> result = new CompletableFuture<>();
    private final AtomicReference<Outstanding> outstanding;

    /**
     * Creates a tracker.
     *
     * @param memberAcksNeeded the acknowledgements needed from members other than the primary
     * @param requiredReceiverCount the number of hosts that must all acknowledge
     * @param receiverCount the number of hosts to which the append is sent
     */
    AckTracker(int memberAcksNeeded, int requiredReceiverCount, int receiverCount) {
        outstanding =
                new AtomicReference<>(
                        new Outstanding(memberAcksNeeded, requiredReceiverCount, receiverCount));
        completeIfDecided(outstanding.get());
    }

    /**
     * Counts the reply of one host, or its timeout.
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
                                        o.missingMemberAcks() - (member && acknowledged ? 1 : 0),
                                        o.missingRequiredAcks()
                                                - (required && acknowledged ? 1 : 0),
                                        o.missingReplies() - 1)));
    }

    private void completeIfDecided(Outstanding current) {
        if (current.isDecided()) {
            result.complete(current.missingMemberAcks() <= 0 && current.missingRequiredAcks() <= 0);
        }
    }

    /** Returns the future result; it never fails. */
    CompletableFuture<Boolean> result() {
        return result;
    }
}
