package org.tamarackfold.caller.http;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioIoThread;

/**
 * Watches an attempt until the head of its response arrives: while there is none, checks from time
 * to time whether the path to the endpoint still works. Used on one I/O thread.
 */
final class SilenceWatch {
    /**
     * Time without a response after which the path is checked. An endpoint may well take longer; a
     * check costs a connection at most.
     */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);

    private final XnioIoThread thread;
    private final EndpointAttempt attempt;
    private final Runnable onPathLost;
    private XnioIoThread.Key timer;
    private boolean stopped;

    private SilenceWatch(XnioIoThread thread, EndpointAttempt attempt, Runnable onPathLost) {
        this.thread = thread;
        this.attempt = attempt;
        this.onPathLost = onPathLost;
    }

    /**
     * Starts to watch an attempt.
     *
     * @param onPathLost called once when the path has been found not to work; the attempt is not
     *     watched any further
     */
    static SilenceWatch start(XnioIoThread thread, EndpointAttempt attempt, Runnable onPathLost) {
        SilenceWatch watch = new SilenceWatch(thread, attempt, onPathLost);
        watch.setTimer();
        return watch;
    }

    private void setTimer() {
        timer = thread.executeAfter(this::check, CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void check() {
        if (!stopped) {
            attempt.checkPath().thenAcceptAsync(this::onChecked, thread);
        }
    }

    private void onChecked(boolean works) {
        if (stopped) {
            return;
        }
        if (works) {
            setTimer();
            return;
        }
        stopped = true;
        onPathLost.run();
    }

    /** Ends the watch: a response has begun, or the attempt has ended. */
    void stop() {
        stopped = true;
        timer.remove();
    }
}
