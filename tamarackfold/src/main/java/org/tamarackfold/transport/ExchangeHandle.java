package org.tamarackfold.transport;

/** A running exchange that can be cancelled. */
public interface ExchangeHandle {
    /** Closes the connection of the exchange; its listener hears nothing more. */
    void cancel();

    /** Stops or resumes reading the response, so that a slow reader slows the peer. */
    void pauseReading(boolean paused);
}
