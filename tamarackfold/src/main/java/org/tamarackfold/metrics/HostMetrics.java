package org.tamarackfold.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/** The metrics of one host process. Thread-safe. */
public final class HostMetrics {
    private static final String PREFIX = "tamarackfold_";

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter placements =
            counter(
                    "placements",
                    "Attempts that were placed by learned cost, by what the endpoint keeps.",
                    "kept");
    private final Counter calls;
    private final Counter rejectedCallers =
            counter(
                    "rejected_callers",
                    "Calls rejected because they have no valid key, by reason.",
                    "reason");
    private final Counter attempts;
    private final Counter limitedAttempts;
    private final Counter rateLimitedSelections;
    private final Counter callsInStop;
    private final Counter deadlineReads =
            counter(
                    "deadline_reads",
                    "Calls of whose response the read at the deadline found something, by what.",
                    "found");
    private final Counter malformedResponses =
            counter(
                    "malformed_responses",
                    "Responses of endpoints outside of the grammar of HTTP, by service.",
                    "service");
    private final Counter malformedRequests =
            counter("malformed_requests", "Received requests outside of the grammar of HTTP.");
    private final Counter endpointBreaks =
            counter(
                    "endpoint_breaks",
                    "Broken connections of calls to endpoints that were traced, by cause.",
                    "service",
                    "cause");
    private final Counter quarantines =
            counter(
                    "quarantines",
                    "Requests that were found to crash endpoints, by who has found it.",
                    "service",
                    "source");
    private final Counter suspectedCalls =
            counter(
                    "suspected_calls",
                    "Copies of requests under which endpoints have ended, by decision.",
                    "route",
                    "decision");
    private final Counter permitDecisions =
            counter(
                    "permit_decisions",
                    "Attempts of customers with limits, by whether they got a permit.",
                    "decision");
    private final Counter shareDecisions =
            counter(
                    "share_decisions",
                    "Streams of customers while some are over their share, by decision.",
                    "decision");
    private final Counter permitReplies =
            counter(
                    "permit_replies",
                    "Demands for permits that this host has answered, by its role.",
                    "role");
    private final Counter forwardedAttempts;
    private final Counter forwardedCalls;
    private final Counter keyValueCalls;
    private final Counter peerCalls;
    private final Gauge openPeerRequests;
    private final Histogram eventLoopDelay;
    private final Histogram callLatency;
    private final Counter releaseExchanges =
            counter(
                    "release_exchanges",
                    "Exchanges of releases with other entry hosts, by result.",
                    "result");
    private final Counter watchSwitches =
            counter(
                    "watch_switches",
                    "Switches of this host between a source and the key-value service.",
                    "to");

    /** Creates and registers the metrics; each instance has a registry of its own. */
    public HostMetrics() {
        calls = counter("calls", "Calls by route and outcome.", "route", "outcome");
        attempts =
                counter(
                        "attempts",
                        "Attempts at endpoints by service and outcome.",
                        "service",
                        "outcome");
        limitedAttempts =
                counter(
                        "limited_attempts",
                        "Attempts at endpoints that state a rate limit, by service.",
                        "service");
        rateLimitedSelections =
                counter(
                        "rate_limited_selections",
                        "Selections that found all endpoints at their rate limit, by service.",
                        "service");
        callsInStop =
                counter(
                        "calls_in_stop",
                        "Calls during a planned stop of this host, by what became of them.",
                        "result");
        forwardedAttempts =
                counter(
                        "forwarded_attempts",
                        "Attempts that another entry host was asked to send, by service.",
                        "service");
        forwardedCalls =
                counter(
                        "forwarded_calls",
                        "Calls of other entry hosts that this host was asked to send, by result.",
                        "result");
        keyValueCalls =
                counter(
                        "key_value_calls",
                        "Calls to the key-value service by operation and outcome.",
                        "operation",
                        "outcome");
        peerCalls =
                counter(
                        "peer_calls",
                        "Calls to other hosts by operation and outcome.",
                        "operation",
                        "outcome");
        openPeerRequests =
                gauge("open_peer_requests", "Requests to other hosts that wait for a reply.");
        eventLoopDelay =
                histogram(
                                "event_loop_delay_seconds",
                                "How late a periodic timer runs on the I/O thread.")
                        .classicUpperBounds(.005, .02, .05, .1, .2, .4, .8, 1.6, 3.2)
                        .register(registry);
        callLatency =
                histogram("call_seconds", "Time from the arrival of a call to its end.")
                        .labelNames("route")
                        .classicUpperBounds(.02, .05, .1, .2, .4, .8, 1.6, 3.2, 6.4)
                        .register(registry);
    }

    private Gauge gauge(String name, String help) {
        return Gauge.builder().name(PREFIX + name).help(help).register(registry);
    }

    private static Histogram.Builder histogram(String name, String help) {
        return Histogram.builder().name(PREFIX + name).help(help).classicOnly();
    }

    private Counter counter(String name, String help, String... labels) {
        return Counter.builder()
                .name(PREFIX + name)
                .help(help)
                .labelNames(labels)
                .register(registry);
    }

    /**
     * Counts a finished call and records its latency.
     *
     * @param seconds from the arrival of the call to the end of its response
     */
    public void recordCall(String route, String outcome, double seconds) {
        calls.labelValues(route, outcome).inc();
        callLatency.labelValues(route).observe(seconds);
    }

    /** Counts a call that is rejected because it has no valid key. */
    public void recordRejectedCaller(String reason) {
        rejectedCallers.labelValues(reason).inc();
    }

    /** Counts a trace of broken connections to an endpoint, by their cause. */
    public void recordEndpointBreak(String service, String cause) {
        endpointBreaks.labelValues(service, cause).inc();
    }

    /** Counts a request that was found to crash endpoints of a service. */
    public void recordQuarantine(String service, String source) {
        quarantines.labelValues(service, source).inc();
    }

    /** Counts a decision on a copy of a suspected request. */
    public void recordSuspectedCall(String route, String decision) {
        suspectedCalls.labelValues(route, decision).inc();
    }

    /** Counts an attempt of a call at an endpoint of the given service. */
    public void recordAttempt(String service, String outcome) {
        attempts.labelValues(service, outcome).inc();
    }

    /** Counts a response of an endpoint of the given service that is no response of HTTP. */
    public void recordMalformedResponse(String service) {
        malformedResponses.labelValues(service).inc();
    }

    /** Counts a received request that is no request of HTTP. */
    public void recordMalformedRequest() {
        malformedRequests.inc();
    }

    /** Counts an attempt of a call at an endpoint of the given service that states a rate limit. */
    public void recordLimitedAttempt(String service) {
        limitedAttempts.labelValues(service).inc();
    }

    /** Counts a selection for which all endpoints of the given service were at their rate limit. */
    public void recordRateLimited(String service) {
        rateLimitedSelections.labelValues(service).inc();
    }

    /** Counts an attempt that was placed by learned cost, by what its endpoint has kept. */
    public void recordPlacement(String kept) {
        placements.labelValues(kept).inc();
    }

    /**
     * Counts a call during a planned stop of this host.
     *
     * @param result {@code arrived}, or what became of the call
     */
    public void recordCallInStop(String result) {
        callsInStop.labelValues(result).inc();
    }

    /** Counts a call of whose response the read at the deadline found something. */
    public void recordDeadlineRead(String found) {
        deadlineReads.labelValues(found).inc();
    }

    /** Counts an attempt of a customer with a limit, by whether it got a permit. */
    public void recordPermitDecision(String decision) {
        permitDecisions.labelValues(decision).inc();
    }

    /** Counts a stream of a customer to a service of which customers are over their share. */
    public void recordShareDecision(String decision) {
        shareDecisions.labelValues(decision).inc();
    }

    /** Counts a demand for permits that this host has answered. */
    public void recordPermitReply(String role) {
        permitReplies.labelValues(role).inc();
    }

    /** Counts an attempt that another entry host is asked to send. */
    public void recordForwardedAttempt(String service) {
        forwardedAttempts.labelValues(service).inc();
    }

    /** Counts a call of another entry host. */
    public void recordForwardedCall(String result) {
        forwardedCalls.labelValues(result).inc();
    }

    /**
     * Serves the number of endpoints that this host does not reach, read at each scrape. Called
     * once.
     */
    public void observeUnreachableEndpoints(IntSupplier count) {
        GaugeWithCallback.builder()
                .name(PREFIX + "unreachable_endpoints")
                .help("Endpoints that this host cannot open connections to.")
                .callback(callback -> callback.call(count.getAsInt()))
                .register(registry);
    }

    /** Serves the number of requests that are rejected, read at each scrape. Called once. */
    public void observeQuarantine(IntSupplier count) {
        GaugeWithCallback.builder()
                .name(PREFIX + "quarantined_requests")
                .help("Requests that are rejected because they crash endpoints.")
                .callback(callback -> callback.call(count.getAsInt()))
                .register(registry);
    }

    /**
     * Serves the bytes of request bodies that this host keeps, read at each scrape. Called once.
     */
    public void observeRequestMemory(LongSupplier bytes) {
        GaugeWithCallback.builder()
                .name(PREFIX + "request_memory_bytes")
                .help("Bytes of the bodies of calls in progress.")
                .callback(callback -> callback.call(bytes.getAsLong()))
                .register(registry);
    }

    /** Serves the bytes of responses that this host keeps, read at each scrape. Called once. */
    public void observeResponseMemory(LongSupplier bytes) {
        GaugeWithCallback.builder()
                .name(PREFIX + "response_memory_bytes")
                .help("Bytes of responses that are buffered or wait for a slow caller.")
                .callback(callback -> callback.call(bytes.getAsLong()))
                .register(registry);
    }

    /**
     * Serves the bytes of the log of a storage host and the size of its disk, read at each scrape.
     * Called once.
     *
     * @param usedBytes the bytes of the log
     * @param diskBytes the size of the disk; 0 when it is not known
     */
    public void observeDisk(LongSupplier usedBytes, long diskBytes) {
        GaugeWithCallback.builder()
                .name(PREFIX + "disk_used_bytes")
                .help("Bytes of the log of this storage host.")
                .callback(callback -> callback.call(usedBytes.getAsLong()))
                .register(registry);
        GaugeWithCallback.builder()
                .name(PREFIX + "disk_size_bytes")
                .help("Size of the disk of this storage host; 0 when it is not known.")
                .callback(callback -> callback.call(diskBytes))
                .register(registry);
    }

    /** Serves the time since the release was last confirmed, read at each scrape. Called once. */
    public void observeReleaseAge(DoubleSupplier seconds) {
        GaugeWithCallback.builder()
                .name(PREFIX + "release_confirmed_age_seconds")
                .help("Time since the release was confirmed as the newest; NaN before that.")
                .callback(callback -> callback.call(seconds.getAsDouble()))
                .register(registry);
    }

    /** Counts a result of an exchange of releases with another entry host. */
    public void recordReleaseExchange(String result) {
        releaseExchanges.labelValues(result).inc();
    }

    /** Counts a finished or failed call to the key-value service. */
    public void recordKeyValueCall(String operation, String outcome) {
        keyValueCalls.labelValues(operation, outcome).inc();
    }

    /**
     * Counts a switch of where this host learns of changes.
     *
     * @param to {@code source} or {@code service}
     */
    public void recordWatchSwitch(String to) {
        watchSwitches.labelValues(to).inc();
    }

    /** Counts a request that is sent to another host, until {@link #recordPeerCall}. */
    public void recordPeerCallSent() {
        openPeerRequests.inc();
    }

    /** Counts a finished or failed request to another host. */
    public void recordPeerCall(String operation, String outcome) {
        openPeerRequests.dec();
        peerCalls.labelValues(operation, outcome).inc();
    }

    /** Returns the number of requests to other hosts that wait for a reply. */
    public int openPeerRequests() {
        return (int) openPeerRequests.get();
    }

    /** Records how late a timer ran on the I/O thread. */
    public void recordEventLoopDelay(double seconds) {
        eventLoopDelay.observe(seconds);
    }

    /** Returns all metrics in the Prometheus text format, or a comment when collecting fails. */
    public byte[] exposition() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.builder().build().write(out, registry.scrape());
        } catch (IOException e) {
            return ("# scrape failed: " + e + "\n").getBytes(StandardCharsets.UTF_8);
        }
        return out.toByteArray();
    }
}
