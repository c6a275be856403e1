package org.tamarackfold.caller;

/** What happens to a call after an attempt at an endpoint. */
public sealed interface RetryDecision {
    /** Send the response of the endpoint to the caller. */
    record RelayResponse() implements RetryDecision {}

    /** Send the call to an endpoint that it has not been sent to before. */
    record Retry() implements RetryDecision {}

    /** Tell the caller that the call has not run and will not run. */
    record Refuse() implements RetryDecision {}

    /** Tell the caller that the call may have run and that its outcome is unknown. */
    record ReportUnknown() implements RetryDecision {}
}
