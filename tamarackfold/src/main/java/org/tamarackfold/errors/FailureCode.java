package org.tamarackfold.errors;

/** Machine-readable cause of a failure. */
public enum FailureCode {
    /** The service does not answer, or temporarily rejects calls. */
    SERVICE_UNAVAILABLE
}
