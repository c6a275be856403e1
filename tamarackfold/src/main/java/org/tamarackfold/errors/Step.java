package org.tamarackfold.errors;

/** Operation that failed. */
public enum Step {
    /** A call to a service of the platform. */
    CONNECT
}
