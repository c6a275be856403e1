package org.tamarackfold.peer;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;

/**
 * The answers to one round of copies. It succeeds with enough members and all hosts that must have
 * the records, without waiting for the others, and fails once it can no longer succeed.
 */
final class CopyRound {
    private record Tally(int membersNeeded, int requiredLeft, int unanswered) {
        boolean isDecided() {
            return (membersNeeded <= 0 && requiredLeft <= 0) || unanswered == 0;
        }
    }

    private final CompletableFuture<Boolean> result = new CompletableFuture<>();
    private final AtomicReference<Tally> tally;

    /**
     * Creates a round.
     *
     * @param membersNeeded the members besides the primary whose acknowledgement suffices
     * @param required the hosts that must acknowledge in any case
     * @param copies the number of copies sent
     */
    CopyRound(int membersNeeded, int required, int copies) {
        tally = new AtomicReference<>(new Tally(membersNeeded, required, copies));
        decide(tally.get());
    }

    /** Counts the answer of one host. */
    void answered(boolean member, boolean required, boolean acknowledged) {
        decide(
                tally.updateAndGet(
                        t ->
                                new Tally(
                                        t.membersNeeded() - (member && acknowledged ? 1 : 0),
                                        t.requiredLeft() - (required && acknowledged ? 1 : 0),
                                        t.unanswered() - 1)));
    }

    private void decide(Tally now) {
        if (now.isDecided()) {
            result.complete(now.membersNeeded() <= 0 && now.requiredLeft() <= 0);
        }
    }

    CompletableFuture<Boolean> result() {
        return result;
    }
}
