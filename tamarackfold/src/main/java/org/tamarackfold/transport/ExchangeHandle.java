package org.tamarackfold.transport;

/** Control over a running exchange. */
public interface ExchangeHandle {
    /** How far an exchange has come before the head of its response. */
    enum Stage {
        /** A connection is being opened; no byte of the request has been sent. */
        CONNECTING,
        /** The request is sent on a connection that was opened for it. */
        SENT_ON_NEW_CONNECTION,
        /** The request is sent on a connection that was kept open after an earlier exchange. */
        SENT_ON_KEPT_CONNECTION
    }

    /** Returns the stage; to be called on the I/O thread of the exchange. */
    Stage stage();

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

    /**
     * Reads what has arrived on the connection in the next task of the I/O thread, before the
     * thread looks at its connections again. To be called on the I/O thread of the exchange; has no
     * effect before the connection is open, while reading is paused and after the end.
     */
    void readArrived();

    /**
     * Ends the calls to the listener, and reads the rest of the response only in order to reuse the
     * connection; closes it when that takes long. To be called from {@link ResponseListener#onHead}
     * only.
     *
     * @param onDiscarding runs once what has arrived was read, so that a connection whose response
     *     is complete can be reused by whatever it starts
     */
    void discardBody(Runnable onDiscarding);
}
