package org.tamarackfold.errors;

/** Machine-readable cause of a failure. */
public enum FailureCode {
    /** The service does not respond, or temporarily rejects calls. */
    SERVICE_UNAVAILABLE
}
