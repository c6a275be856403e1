package org.tamarackfold.endpoint.cost;

import io.vavr.control.Option;
import java.util.Map;
import org.tamarackfold.id.CustomerName;

/** What was learned of one start of an endpoint. Not thread-safe. */
final class EndpointCondition {
    /** Slots of an endpoint that only other hosts have called yet. */
    static final int UNKNOWN_SLOTS = 0;

    private EndpointInstance instance;
    private final long knownSinceNanos;
    private final EndpointSpeed ownSpeed = new EndpointSpeed();
    private final EndpointLoad load = new EndpointLoad();
    private Option<Double> fleetSpeed = Option.none();
    private long fleetSpeedAtNanos;
    private long usedAtNanos;
    private double unreportedTimeSum;
    private int unreportedSamples;
    private boolean hasNews;

    EndpointCondition(EndpointInstance instance, long nowNanos) {
        this.instance = instance;
        this.knownSinceNanos = nowNanos;
        this.usedAtNanos = nowNanos;
    }

    EndpointInstance instance() {
        return instance;
    }

    /** Returns whether the slots are known: this host has called the endpoint. */
    boolean hasSlots() {
        return instance.slots() != UNKNOWN_SLOTS;
    }

    /** Sets the slots, which may be registered anew without a restart. */
    void setSlots(int slots) {
        if (slots != instance.slots()) {
            instance =
                    new EndpointInstance(
                            instance.id(), instance.service(), slots, instance.startedAtMillis());
        }
    }

    /** Returns when this host first heard of this start of the endpoint. */
    long knownSinceNanos() {
        return knownSinceNanos;
    }

    long usedAtNanos() {
        return usedAtNanos;
    }

    /** Returns the speed that the samples of all hosts show, or else those of this host. */
    double speed(long nowNanos) {
        return nowNanos - fleetSpeedAtNanos <= EndpointLoad.TOTALS_VALIDITY_NANOS
                ? fleetSpeed.getOrElse(() -> ownSpeed.current(nowNanos))
                : ownSpeed.current(nowNanos);
    }

    void addSpeedSample(double sample, long nowNanos) {
        ownSpeed.add(sample, nowNanos);
        unreportedTimeSum += 1 / sample;
        unreportedSamples++;
        hasNews = true;
    }

    /**
     * Returns how many times longer a call takes beside others: all calls in a batch wait for each
     * other's steps. A full batch is taken to double the time.
     */
    double slowdown(int otherCalls) {
        return 1 + otherCalls / (double) Math.max(1, instance.slots());
    }

    void start(CallInFlight call, long nowNanos) {
        usedAtNanos = nowNanos;
        hasNews = true;
        load.add(call);
    }

    void end(CallInFlight call) {
        hasNews = true;
        load.remove(call);
    }

    boolean isIdle() {
        return load.ownInFlight() == 0 && !hasNews;
    }

    int inFlight(long nowNanos) {
        return load.inFlight(nowNanos);
    }

    EndpointLoad load() {
        return load;
    }

    double ownRemainingMillis(long nowNanos) {
        return load.ownRemainingMillis(rate(nowNanos), nowNanos);
    }

    /** Adds the remaining work of the calls of this host to the sums by customer. */
    void addCustomerWork(Map<CustomerName, Double> sums, long nowNanos) {
        load.addCustomerWork(sums, rate(nowNanos), nowNanos);
    }

    private double rate(long nowNanos) {
        return speed(nowNanos) / slowdown(Math.max(0, load.inFlight(nowNanos) - 1));
    }

    /** Returns the report of this host, which begins another period of samples. */
    EndpointReport takeReport(long nowNanos) {
        double meanSpeed = unreportedSamples == 0 ? 1 : unreportedSamples / unreportedTimeSum;
        EndpointReport report =
                new EndpointReport(
                        instance.id(),
                        instance.startedAtMillis(),
                        ownRemainingMillis(nowNanos),
                        load.ownInFlight(),
                        meanSpeed,
                        unreportedSamples);
        unreportedTimeSum = 0;
        unreportedSamples = 0;
        hasNews = false;
        return report;
    }

    /** Applies the totals of all hosts, to which this host has contributed its own report. */
    void adopt(EndpointReport total, Option<EndpointReport> own, long nowNanos) {
        load.setOthers(
                total.remainingMillis() - own.map(EndpointReport::remainingMillis).getOrElse(0.0),
                total.inFlight() - own.map(EndpointReport::inFlight).getOrElse(0),
                nowNanos);
        fleetSpeed = total.speedSamples() > 0 ? Option.some(total.speed()) : Option.none();
        fleetSpeedAtNanos = nowNanos;
    }
}
