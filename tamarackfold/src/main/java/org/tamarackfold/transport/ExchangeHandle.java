package org.tamarackfold.transport;

/** Control over a running exchange. */
public interface ExchangeHandle {
    /**
     * Cancels the exchange and closes its connection; the listener is not called afterwards. May be
     * called from any thread; outside of the I/O thread of the exchange it acts asynchronously.
     */
    void cancel();

    /**
     * Pauses or resumes reading of the response, as back-pressure on the server. To be called on
     * the I/O thread of the exchange; has no effect before the response head and after the end.
     */
    void setReadingPaused(boolean paused);
}
