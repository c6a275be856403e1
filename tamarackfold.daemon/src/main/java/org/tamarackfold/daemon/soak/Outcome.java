package org.tamarackfold.daemon.soak;

/** How an attempt ended for its caller. */
public sealed interface Outcome {
    /** A success with its complete body. */
    record Served() implements Outcome {}

    /**
     * A status that is no success.
     *
     * @param retryAfterMillis the delay that the answer asks for, in milliseconds
     */
    record Rejected(int status, long retryAfterMillis) implements Outcome {
        /** Returns whether the status promises that the call has not run and never will. */
        public boolean promisesNotRun() {
            return switch (status) {
                case 402, 408, 421, 429, 503 -> true;
                default -> false;
            };
        }
    }

    /**
     * The connection ended before the end of the answer.
     *
     * @param hostRefused whether the host refused connections meanwhile, perhaps this one
     */
    record Broken(String reason, boolean hostRefused) implements Outcome {}

    /** No connection was established. */
    record NotSent() implements Outcome {}

    /** The caller gave up. */
    record Abandoned() implements Outcome {}
}
