package org.tamarackfold.errors;

/** Machine-readable cause of a failure. */
public enum FailureCode {
    /** The service does not answer, or rejects calls for now. */
    SERVICE_UNAVAILABLE
}
