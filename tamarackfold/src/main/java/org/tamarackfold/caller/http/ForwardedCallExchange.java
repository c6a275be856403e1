package org.tamarackfold.caller.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.tamarackfold.caller.AttemptOutcome;
import org.tamarackfold.endpoint.EndpointRecord;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.peer.ForwardReply;
import org.tamarackfold.peer.ForwardedCall;
import org.tamarackfold.peer.http.ForwardReplyFrames;
import org.tamarackfold.transport.ResponseWriter;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;

/**
 * One call that this host forwards for another: a direct attempt whose events become replies. Runs
 * on the I/O thread of the connection from the other host. A response that breaks off breaks off
 * this connection, so that it does not look complete.
 */
final class ForwardedCallExchange implements EndpointAttempt.Listener {
    private static final StructuredLog LOG = StructuredLog.of("forward");

    /** Memory of the queue for the other host above which reading from the endpoint pauses. */
    private static final long PAUSE_THRESHOLD_BYTES = 256 * 1024;

    private final CallDependencies dependencies;
    private final Set<ForwardedCallExchange> calls;
    private final HttpServerExchange exchange;
    private final XnioIoThread thread;
    private final ForwardedCall call;
    private final DirectAttempt attempt;
    private final ResponseWriter writer;
    private final MessageMemory.Account account;
    private final DeadlineRead deadlineRead;
    private final long startedAtNanos = System.nanoTime();
    private DisconnectDetector disconnectDetector;
    private SilenceWatch silenceWatch;
    private XnioIoThread.Key deadline;
    private long deadlineNanos;
    private boolean paused;
    private boolean finished;

    ForwardedCallExchange(
            CallDependencies dependencies,
            Set<ForwardedCallExchange> calls,
            HttpServerExchange exchange,
            ForwardedCall call,
            EndpointRecord endpoint) {
        this.dependencies = dependencies;
        this.calls = calls;
        this.exchange = exchange;
        this.thread = exchange.getIoThread();
        this.call = call;
        this.attempt = new DirectAttempt(endpoint, call.id(), dependencies, this);
        this.writer = new ResponseWriter(exchange, this::onQueueEmpty);
        this.account = dependencies.responseMemory().open();
        this.deadlineRead =
                new DeadlineRead(dependencies.metrics(), () -> event("read_at_deadline"));
    }

    int bodyBytes() {
        return call.body().length;
    }

    void start() {
        calls.add(this);
        event("forwarding")
                .with("endpoint", call.endpoint())
                .with("peer", exchange.getSourceAddress())
                .with("left_ms", call.remainingTime().toMillis())
                .info();
        disconnectDetector = DisconnectDetector.start(exchange, this::onSenderDisconnected);
        long remainingMillis = Math.max(1, call.remainingTime().toMillis());
        deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(remainingMillis);
        deadline = thread.executeAfter(this::onDeadline, remainingMillis, TimeUnit.MILLISECONDS);
        write(new ForwardReply.Accepted());
        silenceWatch = SilenceWatch.start(thread, attempt, this::onPathLost);
        attempt.start(
                new EndpointRequest(
                        call.id(),
                        call.method(),
                        call.pathAndQuery(),
                        ForwardedHeaders.toMap(call.headers()),
                        call.body(),
                        call.isRetryable(),
                        new CrashWatch.Forwarded(call.fingerprint())),
                call.remainingTime());
    }

    /** Starts a line with the id of the call and its customer, if the other host names one. */
    private StructuredLog.Line event(String name) {
        StructuredLog.Line line = LOG.event(name).with("call", call.id());
        ForwardedHeaders.value(call.headers(), dependencies.headerNames().customer())
                .forEach(customer -> line.with("customer", customer));
        return line;
    }

    private void write(ForwardReply reply) {
        writer.write(ForwardReplyFrames.encode(reply));
    }

    private void onQueueEmpty() {
        if (paused && writer.queuedMemory() == 0) {
            account.resize(0);
            paused = false;
            attempt.setReadingPaused(false);
        }
    }

    /** Ends a call whose sender can retry it; the response of another one may still come. */
    private void onPathLost() {
        if (finished || !call.isRetryable()) {
            return;
        }
        attempt.cancel();
        endWith(new ForwardReply.Unknown("path to the endpoint lost"));
    }

    /** Breaks off the call after what has arrived of its response was read. */
    private void onDeadline() {
        deadlineRead.begin(System.nanoTime() - deadlineNanos);
        attempt.readArrived();
        thread.execute(this::endAtDeadline);
    }

    private void endAtDeadline() {
        deadlineRead.end();
        breakOff("deadline passed");
    }

    /** Breaks off the call because the host stops. Called on any thread. */
    void endBecauseStopping() {
        thread.execute(() -> breakOff("the host is stopping"));
    }

    private void onSenderDisconnected() {
        breakOff("sender closed its connection");
    }

    private void breakOff(String reason) {
        if (finished) {
            return;
        }
        attempt.cancel();
        finish("broken_off", reason);
        writer.abort();
        IoUtils.safeClose(exchange.getConnection());
    }

    @Override
    public void onResponseHead(int status, HeaderMap headers) {
        deadlineRead.onArrival(DeadlineRead.Found.PART);
        silenceWatch.stop();
        write(new ForwardReply.Head(status, ForwardedHeaders.toList(headers)));
    }

    @Override
    public void onResponseBody(ByteBuffer bytes) {
        deadlineRead.onArrival(DeadlineRead.Found.PART);
        byte[] part = new byte[bytes.remaining()];
        bytes.get(part);
        writer.write(part);
        boolean granted = account.resize(writer.queuedMemory());
        long threshold = granted ? PAUSE_THRESHOLD_BYTES : MessageMemory.GUARANTEED_BYTES;
        if (!paused && writer.queuedMemory() > threshold) {
            paused = true;
            attempt.setReadingPaused(true);
        }
    }

    @Override
    public void onResponseEnd() {
        deadlineRead.onArrival(DeadlineRead.Found.END);
        if (!finished) {
            finish("answered", "response complete");
            writer.end();
        }
    }

    @Override
    public void onResponseFailure(String reason) {
        deadlineRead.onArrival(DeadlineRead.Found.FAILURE);
        if (!finished) {
            finish("broken_off", reason);
            writer.abort();
        }
    }

    @Override
    public void onNoResponse(AttemptOutcome outcome, String reason) {
        deadlineRead.onArrival(DeadlineRead.Found.FAILURE);
        if (finished) {
            return;
        }
        endWith(
                switch (outcome) {
                    case AttemptOutcome.Rejected(AttemptOutcome.Cause cause) ->
                            cause == AttemptOutcome.Cause.FULL
                                    ? new ForwardReply.Full()
                                    : new ForwardReply.Misdirected();
                    case AttemptOutcome.NotSent() -> new ForwardReply.NotSent(reason);
                    case AttemptOutcome.Unknown(),
                            AttemptOutcome.Answered(int _),
                            AttemptOutcome.NotForwarded() ->
                            new ForwardReply.Unknown(reason);
                });
    }

    private void endWith(ForwardReply reply) {
        finish(reply.getClass().getSimpleName(), String.valueOf(reply));
        write(reply);
        writer.end();
    }

    private void finish(String result, String reason) {
        finished = true;
        calls.remove(this);
        deadline.remove();
        disconnectDetector.stop();
        silenceWatch.stop();
        account.close();
        event("forwarded")
                .with("endpoint", call.endpoint())
                .with("result", result)
                .with("reason", reason)
                .with("ms", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAtNanos))
                .info();
        dependencies.metrics().recordForwardedCall(result);
    }
}
