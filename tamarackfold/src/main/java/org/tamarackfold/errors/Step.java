package org.tamarackfold.errors;

/** Operation that failed. */
public enum Step {
    /** A call to a service of the platform, including the wait for the response. */
    CONNECT
}
