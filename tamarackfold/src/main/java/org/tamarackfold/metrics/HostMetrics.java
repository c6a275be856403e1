package org.tamarackfold.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** The metrics of one host process. Thread-safe. */
public final class HostMetrics {
    private static final String PREFIX = "tamarackfold_";

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter calls;
    private final Counter attempts;
    private final Counter limitedAttempts;
    private final Counter rateLimitedSelections;
    private final Counter callsInStop;
    private final Counter keyValueCalls;
    private final Counter peerCalls;
    private final Gauge openPeerRequests;
    private final Histogram eventLoopDelay;
    private final Histogram callLatency;

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
                Gauge.builder()
                        .name(PREFIX + "open_peer_requests")
                        .help("Requests to other hosts that wait for a reply.")
                        .register(registry);
        eventLoopDelay =
                Histogram.builder()
                        .name(PREFIX + "event_loop_delay_seconds")
                        .help("How late a periodic timer runs on the I/O thread.")
                        .classicOnly()
                        .classicUpperBounds(.005, .02, .05, .1, .2, .4, .8, 1.6, 3.2)
                        .register(registry);
        callLatency =
                Histogram.builder()
                        .name(PREFIX + "call_seconds")
                        .help("Time from the arrival of a call to the end of its answer.")
                        .labelNames("route")
                        .classicOnly()
                        .classicUpperBounds(.02, .05, .1, .2, .4, .8, 1.6, 3.2, 6.4)
                        .register(registry);
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

    /** Counts an attempt of a call at an endpoint of the given service. */
    public void recordAttempt(String service, String outcome) {
        attempts.labelValues(service, outcome).inc();
    }

    /** Counts an attempt of a call at an endpoint of the given service that states a rate limit. */
    public void recordLimitedAttempt(String service) {
        limitedAttempts.labelValues(service).inc();
    }

    /** Counts a selection for which all endpoints of the given service were at their rate limit. */
    public void recordRateLimited(String service) {
        rateLimitedSelections.labelValues(service).inc();
    }

    /**
     * Counts a call during a planned stop of this host.
     *
     * @param result {@code arrived}, or what became of the call
     */
    public void recordCallInStop(String result) {
        callsInStop.labelValues(result).inc();
    }

    /** Counts a finished or failed call to the key-value service. */
    public void recordKeyValueCall(String operation, String outcome) {
        keyValueCalls.labelValues(operation, outcome).inc();
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
