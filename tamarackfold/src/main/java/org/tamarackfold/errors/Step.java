package org.tamarackfold.errors;

/** Step at which a failure arose. */
public enum Step {
    /** A call to a service of the platform. */
    CONNECT
}
