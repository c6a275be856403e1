package org.tamarackfold.caller;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.tamarackfold.id.BranchId;
import org.tamarackfold.id.CallKey;
import org.tamarackfold.id.ServiceName;

/**
 * A call of a program, as a caller sends it.
 *
 * @param header the header from the caller's verified token
 * @param key identifies the call; the same for every attempt
 * @param attempt number of this attempt, from 1; informative only
 * @param branch the branch the call belongs to
 * @param sequence position in the branch, from 0
 * @param service the service that answers
 * @param operation the operation of an application engine or tool service; {@code chat} for model
 *     engines
 * @param nonIdempotent whether the caller forbids a second run
 * @param priorDigest digest of the history before {@code turns}; empty when {@code turns} is the
 *     whole history
 * @param turns the new turns
 * @param maximumTokens the most that the call may spend, in tokens
 * @param timeout how long the caller waits
 */
public record CallRequest(
        ProgramHeader header,
        CallKey key,
        int attempt,
        BranchId branch,
        long sequence,
        ServiceName service,
        String operation,
        boolean nonIdempotent,
        HistoryDigest priorDigest,
        List<Turn> turns,
        long maximumTokens,
        Duration timeout) {

    /** Copies the list. */
    public CallRequest {
        turns = List.copyOf(turns);
    }

    /** Returns the digest that identifies the content of this request. */
    public HistoryDigest fingerprint() {
        Turn target = new Turn("call", service + "/" + operation + "/" + branch + "/" + sequence);
        return priorDigest.appendAll(turns).append(target);
    }

    /** Returns this request under another header. */
    public CallRequest under(ProgramHeader next) {
        return new CallRequest(
                next,
                key,
                attempt,
                branch,
                sequence,
                service,
                operation,
                nonIdempotent,
                priorDigest,
                turns,
                maximumTokens,
                timeout);
    }

    /** Returns a new builder. */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds a {@link CallRequest}. */
    public static final class Builder {
        private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(60);

        private ProgramHeader header;
        private CallKey key;
        private int attempt = 1;
        private BranchId branch = BranchId.MAIN;
        private long sequence;
        private ServiceName service;
        private String operation = "chat";
        private boolean nonIdempotent;
        private HistoryDigest priorDigest = HistoryDigest.EMPTY;
        private List<Turn> turns = List.of();
        private long maximumTokens = 1;
        private Duration timeout = DEFAULT_TIMEOUT;

        private Builder() {}

        /** Sets the header from the verified token. */
        public Builder setHeader(ProgramHeader value) {
            header = value;
            return this;
        }

        /** Sets the key of the call. */
        public Builder setKey(CallKey value) {
            key = value;
            return this;
        }

        /** Sets the attempt number, from 1. */
        public Builder setAttempt(int value) {
            attempt = value;
            return this;
        }

        /** Sets the branch. */
        public Builder setBranch(BranchId value) {
            branch = value;
            return this;
        }

        /** Sets the position in the branch. */
        public Builder setSequence(long value) {
            sequence = value;
            return this;
        }

        /** Sets the service. */
        public Builder setService(ServiceName value) {
            service = value;
            return this;
        }

        /** Sets the operation. */
        public Builder setOperation(String value) {
            operation = value;
            return this;
        }

        /** Forbids a second run. */
        public Builder setNonIdempotent(boolean value) {
            nonIdempotent = value;
            return this;
        }

        /** Sets the digest of the history before the new turns. */
        public Builder setPriorDigest(HistoryDigest value) {
            priorDigest = value;
            return this;
        }

        /** Sets the new turns. */
        public Builder setTurns(List<Turn> value) {
            turns = value;
            return this;
        }

        /** Sets the most that the call may spend, in tokens. */
        public Builder setMaximumTokens(long value) {
            maximumTokens = value;
            return this;
        }

        /** Sets how long the caller waits. */
        public Builder setTimeout(Duration value) {
            timeout = value;
            return this;
        }

        /** Returns the request. */
        public CallRequest build() {
            return new CallRequest(
                    Objects.requireNonNull(header, "header"),
                    Objects.requireNonNull(key, "key"),
                    attempt,
                    branch,
                    sequence,
                    Objects.requireNonNull(service, "service"),
                    operation,
                    nonIdempotent,
                    priorDigest,
                    turns,
                    maximumTokens,
                    timeout);
        }
    }
}
