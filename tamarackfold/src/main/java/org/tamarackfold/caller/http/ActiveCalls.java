package org.tamarackfold.caller.http;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.tamarackfold.caller.StopSchedule;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.metrics.HostMetrics;

/** The calls in progress of an entry host, and whether the host is stopping. Thread-safe. */
public final class ActiveCalls {
    private static final StructuredLog LOG = StructuredLog.of("caller");

    private final HostMetrics metrics;
    private final Set<ActiveCall> calls = ConcurrentHashMap.newKeySet();
    private final AtomicInteger exchanges = new AtomicInteger();
    private volatile long lastArrivalNanos = System.nanoTime();
    private volatile Option<Stop> stop = Option.none();
    private volatile boolean ended;

    private record Stop(long requestedAtNanos, StopSchedule schedule) {}

    ActiveCalls(HostMetrics metrics) {
        this.metrics = metrics;
    }

    void startStop(long requestedAtNanos, StopSchedule schedule) {
        stop = Option.some(new Stop(requestedAtNanos, schedule));
    }

    boolean isStopping() {
        return stop.isDefined();
    }

    /** Returns the time since the stop was requested; none while the host is not stopping. */
    Option<Duration> timeSinceStop(long nowNanos) {
        return stop.map(current -> Duration.ofNanos(nowNanos - current.requestedAtNanos()));
    }

    /** Returns whether a call may be sent to an endpoint now; see {@link StopSchedule#maySend}. */
    boolean maySend(long admittedNanos, long nowNanos, long deadlineNanos) {
        return !ended
                && stop.forAll(
                        current ->
                                current.schedule().maySend(admittedNanos, nowNanos, deadlineNanos));
    }

    /** Counts a request whose head has been read. */
    void onArrival(long nowNanos) {
        lastArrivalNanos = nowNanos;
        exchanges.incrementAndGet();
        if (isStopping()) {
            metrics.recordCallInStop("arrived");
        }
    }

    /** Counts a request whose response has ended. */
    void onResponseEnd() {
        exchanges.decrementAndGet();
    }

    void add(ActiveCall call) {
        calls.add(call);
    }

    void remove(ActiveCall call) {
        calls.remove(call);
    }

    /** Returns the number of requests whose response has not ended. */
    int count() {
        return exchanges.get();
    }

    long lastArrivalNanos() {
        return lastArrivalNanos;
    }

    /** Gives all calls in progress their final responses; no call is sent any more. */
    void endAll() {
        ended = true;
        calls.forEach(ActiveCall::endBecauseStopping);
    }

    /** Logs and counts the calls that are cut off because the process ends. */
    void logCutCalls() {
        long nowNanos = System.nanoTime();
        for (ActiveCall call : calls) {
            metrics.recordCallInStop("cut");
            StructuredLog.Line line = LOG.event("call_cut").with("call", call.id());
            call.customer().forEach(customer -> line.with("customer", customer));
            line.with("sent", call.mayHaveRun()).with("ms", call.age(nowNanos).toMillis()).warn();
        }
    }
}
