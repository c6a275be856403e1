package org.tamarackfold.caller;

/** What to do after an attempt at an endpoint. */
public sealed interface RetryDecision {
    /** Pass the answer of the endpoint to the caller. */
    record RelayResponse() implements RetryDecision {}

    /** Choose another endpoint. */
    record Retry() implements RetryDecision {}

    /** Tell the caller that the call has not run and will not run. */
    record Refuse() implements RetryDecision {}

    /** Tell the caller that the outcome is unknown. */
    record ReportUnknown() implements RetryDecision {}
}
