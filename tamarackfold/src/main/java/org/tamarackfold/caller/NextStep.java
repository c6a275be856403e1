package org.tamarackfold.caller;

/** What to do after an attempt at an endpoint. */
public sealed interface NextStep {
    /** Pass the answer of the endpoint to the caller. */
    record Relay() implements NextStep {}

    /** Choose another endpoint. */
    record TryAnother() implements NextStep {}

    /** Tell the caller that the call has not run and will not run. */
    record Refuse() implements NextStep {}

    /** Tell the caller that the outcome is unknown. */
    record ReportUnknown() implements NextStep {}
}
