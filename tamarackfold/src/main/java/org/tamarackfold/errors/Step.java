package org.tamarackfold.errors;

/** Step of the processing of a request at which a failure arose. */
public enum Step {
    DECODE,
    VERIFY_TOKEN,
    OPEN_PROGRAM,
    ORDER,
    VERIFY_HISTORY,
    RESERVE_BUDGET,
    CLAIM,
    TAKE_OVER,
    FORWARD,
    PLACE,
    ADMIT,
    DISPATCH,
    STREAM,
    SETTLE,
    END_PROGRAM,
    PUBLISH,
    READ_RELEASE,
    CHECK_SETTINGS,
    CONNECT
}
