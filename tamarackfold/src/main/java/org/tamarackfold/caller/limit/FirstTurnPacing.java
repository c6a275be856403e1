package org.tamarackfold.caller.limit;

import java.util.concurrent.TimeUnit;

/**
 * Holds back the first turns of a customer that is over its limit, so that the programs which have
 * begun can finish. Not thread-safe.
 *
 * <p>First turns may begin at the rate of the limit divided by the calls of a program. That number
 * is observed only while no call is refused, because refused programs end early and would count as
 * short. Under pressure it is raised while other calls are refused and lowered while permits are
 * left, so that a number that was never observed, or has changed, is corrected.
 */
final class FirstTurnPacing {
    /** How long a customer counts as over its limit after it was refused permits. */
    private static final long PRESSURE_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** First turns that may be admitted at once, in seconds of their rate. */
    private static final double BURST_SECONDS = 2;

    /** Half-life of the observed calls; programs have 3 to 14 turns. */
    private static final double HALF_LIFE_SECONDS = 10;

    /** Interval of corrections; the effect of one shows when the next turns arrive. */
    private static final long CORRECTION_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final double MAXIMUM_RAISE = 0.5;
    private static final double LOWER_FACTOR = 0.9;
    private static final double MAXIMUM_CALLS_PER_PROGRAM = 50;

    /** Part of the bucket beyond which permits would be lost if first turns did not get them. */
    private static final double SPARE_PART = 0.5;

    /** Part of the bucket that first turns leave to other calls while these are refused. */
    private static final double RESERVED_PART = 0.3;

    private final DecayingCount calls = new DecayingCount(HALF_LIFE_SECONDS);
    private final DecayingCount programs = new DecayingCount(HALF_LIFE_SECONDS);
    private final TokenBucket bucket;
    private double callsPerProgram = 1;
    private long pressureUntilNanos;
    private long correctedAtNanos;
    private int othersWanted;
    private int othersRefused;

    FirstTurnPacing(long nowNanos) {
        bucket = new TokenBucket(Double.MAX_VALUE, nowNanos);
        pressureUntilNanos = nowNanos;
        correctedAtNanos = nowNanos;
    }

    /** Returns whether the customer was refused permits lately. */
    boolean isUnderPressure(long nowNanos) {
        return pressureUntilNanos - nowNanos > 0;
    }

    /** Returns the calls of a program, at least 1. */
    double callsPerProgram() {
        return callsPerProgram;
    }

    /**
     * Returns how many of the wanted first turns may begin.
     *
     * @param tokens the permits that are left after those for other calls
     * @param capacity the most permits that may be left
     */
    int admit(int wanted, double callsPerSecond, double tokens, double capacity, long nowNanos) {
        double perSecond = callsPerSecond / callsPerProgram;
        bucket.update(perSecond, Math.max(1, BURST_SECONDS * perSecond), nowNanos);
        if (!isUnderPressure(nowNanos)) {
            return wanted;
        }
        double available = Math.max(0, tokens - RESERVED_PART * capacity);
        double spare = Math.max(0, tokens - SPARE_PART * capacity);
        return Math.max(
                bucket.take((int) Math.min(wanted, available)), (int) Math.min(wanted, spare));
    }

    /** Records what was granted and refused, and the part of the bucket that is left. */
    void record(PermitDemand demand, int firstTurns, int otherCalls, double filled, long nowNanos) {
        if (otherCalls < demand.otherCalls() || firstTurns < demand.firstTurns()) {
            pressureUntilNanos = nowNanos + PRESSURE_NANOS;
        }
        othersWanted += demand.otherCalls();
        othersRefused += demand.otherCalls() - otherCalls;
        if (isUnderPressure(nowNanos)) {
            correct(filled, nowNanos);
            return;
        }
        calls.add(firstTurns + otherCalls, nowNanos);
        programs.add(firstTurns, nowNanos);
        callsPerProgram =
                Math.max(1, calls.value(nowNanos) / Math.max(1, programs.value(nowNanos)));
        correctedAtNanos = nowNanos;
    }

    private void correct(double filled, long nowNanos) {
        if (nowNanos - correctedAtNanos < CORRECTION_NANOS) {
            return;
        }
        if (othersRefused > 0) {
            double raise = Math.min(MAXIMUM_RAISE, (double) othersRefused / othersWanted);
            callsPerProgram = Math.min(MAXIMUM_CALLS_PER_PROGRAM, callsPerProgram * (1 + raise));
        } else if (filled > RESERVED_PART) {
            callsPerProgram = Math.max(1, callsPerProgram * LOWER_FACTOR);
        }
        othersWanted = 0;
        othersRefused = 0;
        correctedAtNanos = nowNanos;
    }
}
