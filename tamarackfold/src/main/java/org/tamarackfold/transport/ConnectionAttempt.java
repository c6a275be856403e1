package org.tamarackfold.transport;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tamarackfold.id.Address;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioIoThread;

/** Opens one connection to a server within a timeout. Everything runs on one I/O thread. */
final class ConnectionAttempt {
    /** Looks at the connections after the timeout, on a thread that is never in time. */
    private static final int MAXIMUM_LOOKS = 10;

    /** Time within which the thread looks at its connections when no other tasks wait. */
    private static final long LONGEST_LOOK_NANOS = TimeUnit.MILLISECONDS.toNanos(3);

    private final IoRuntime runtime;
    private final XnioIoThread thread;
    private final ResponseInputOpener opener;
    private final Consumer<Either<ConnectFailure, ServerConnection>> result;
    private XnioIoThread.Key timer;
    private boolean finished;

    /**
     * Creates an attempt that is not started.
     *
     * @param result receives the connection, or on the left why there is none; not called after
     *     {@link #cancel}
     */
    ConnectionAttempt(
            IoRuntime runtime,
            XnioIoThread thread,
            Consumer<Either<ConnectFailure, ServerConnection>> result) {
        this.runtime = runtime;
        this.thread = thread;
        this.opener = new ResponseInputOpener(thread);
        this.result = result;
    }

    void start(Address address, Duration timeout) {
        setTimer(timeout.toMillis(), this::onTimerDue);
        try {
            UndertowClient.getInstance()
                    .connect(
                            new ConnectCallback(),
                            URI.create("http://" + address.ip() + ":" + address.port()),
                            opener,
                            runtime.buffers(),
                            OptionMap.EMPTY);
        } catch (RuntimeException e) {
            // Reported as a failure, so that the sender does not wait for its own timeout.
            finish(Either.left(new ConnectFailure.Failed(e.toString())));
        }
    }

    private void setTimer(long millis, Runnable action) {
        timer = thread.executeAfter(action, Math.max(1, millis), TimeUnit.MILLISECONDS);
    }

    /**
     * Lets the thread look at its connections once more: it runs due timers first, so that after a
     * delay of its own a connection that was opened long ago would seem to have timed out.
     */
    private void onTimerDue() {
        lookOnceMore(MAXIMUM_LOOKS);
    }

    /** Waits again when other tasks of the thread took the time in which it was to look. */
    private void lookOnceMore(int looksLeft) {
        long startNanos = System.nanoTime();
        setTimer(
                1,
                () -> {
                    if (looksLeft > 1 && System.nanoTime() - startNanos > LONGEST_LOOK_NANOS) {
                        lookOnceMore(looksLeft - 1);
                        return;
                    }
                    onTimeout();
                });
    }

    private void onTimeout() {
        opener.cancel();
        finish(Either.left(new ConnectFailure.TimedOut()));
    }

    /** Ends the attempt; a connection that is opened nevertheless is closed. */
    void cancel() {
        if (!finished) {
            finished = true;
            timer.remove();
            opener.cancel();
        }
    }

    private void finish(Either<ConnectFailure, ServerConnection> outcome) {
        if (finished) {
            return;
        }
        finished = true;
        timer.remove();
        result.accept(outcome);
    }

    private static ConnectFailure failure(IOException e) {
        String message = String.valueOf(e.getMessage());
        return e instanceof ConnectException
                ? new ConnectFailure.Refused(message)
                : new ConnectFailure.Failed(message);
    }

    private final class ConnectCallback implements ClientCallback<ClientConnection> {
        @Override
        public void completed(ClientConnection opened) {
            if (finished) {
                IoUtils.safeClose(opened);
                return;
            }
            finish(Either.right(new ServerConnection(opened, opener.responseInput())));
        }

        @Override
        public void failed(IOException e) {
            finish(Either.left(failure(e)));
        }
    }
}
