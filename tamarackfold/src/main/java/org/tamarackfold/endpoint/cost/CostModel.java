package org.tamarackfold.endpoint.cost;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.tamarackfold.id.RouteName;

/**
 * Learns what calls cost, per route and size class. A class holds what a call costs where what its
 * endpoint can keep of its prompt is kept; elsewhere the work saved is added. Not thread-safe.
 */
final class CostModel {
    /**
     * Cost of a call before any sample; the reading of 3,600 tokens takes 40 to 95 ms, a short
     * output as long.
     */
    static final double INITIAL_MILLIS = 50;

    /** Samples from which a class has its own mean. */
    private static final int MINIMUM_SAMPLES = 8;

    /**
     * Size classes that are kept; the least recently used is dropped. A route has about 10 classes
     * of prompts and 5 of outputs.
     */
    private static final int MAXIMUM_CLASSES = 4_096;

    private final Map<SizeClass, Cost> classes =
            new LinkedHashMap<>(64, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<SizeClass, Cost> eldest) {
                    return size() > MAXIMUM_CLASSES;
                }
            };

    private final Map<RouteName, RouteCost> routes = new HashMap<>();

    private record SizeClass(RouteName route, boolean continues, int prompt, int output) {
        static SizeClass of(CallProfile call) {
            return new SizeClass(
                    call.route(),
                    call.continuesProgram(),
                    powerOfTwo(call.promptTokens()),
                    powerOfTwo(call.outputTokens()));
        }

        private static int powerOfTwo(long tokens) {
            return Long.SIZE - Long.numberOfLeadingZeros(Math.max(0, tokens));
        }
    }

    private static final class Cost {
        final MovingMean total = new MovingMean();
        final MovingMean untilFirstEvent = new MovingMean();

        CostEstimate estimate() {
            return new CostEstimate(
                    total.mean(),
                    total.deviation(),
                    untilFirstEvent.mean(),
                    total.samples() >= MINIMUM_SAMPLES);
        }

        void add(double totalMillis, double firstEventMillis) {
            total.add(totalMillis);
            untilFirstEvent.add(firstEventMillis);
        }
    }

    private static final class RouteCost {
        final Cost all = new Cost();
        final MovingMean savedByHistory = new MovingMean();
        final MovingMean savedBySharedPart = new MovingMean();
    }

    /** Returns the expected cost of a call at an endpoint that keeps the given part of it. */
    CostEstimate estimate(CallProfile call, Kept kept) {
        return whereKept(call).plus(canKeep(call) == kept ? 0 : savedMillis(call));
    }

    /** Returns the most that an endpoint can have kept of a call before it runs. */
    static Kept canKeep(CallProfile call) {
        if (call.program().isDefined() && call.continuesProgram()) {
            return Kept.HISTORY;
        }
        return call.sharedPart().isDefined() ? Kept.SHARED_PART : Kept.NOTHING;
    }

    private CostEstimate whereKept(CallProfile call) {
        Cost ofClass = classes.get(SizeClass.of(call));
        if (ofClass != null && ofClass.total.samples() >= MINIMUM_SAMPLES) {
            return ofClass.estimate();
        }
        RouteCost route = routes.get(call.route());
        return route != null && route.all.total.samples() > 0
                ? route.all.estimate()
                : new CostEstimate(INITIAL_MILLIS, INITIAL_MILLIS, INITIAL_MILLIS / 2, false);
    }

    /**
     * Returns the work that an endpoint saves which has kept what it can of the call. Before there
     * are samples, as much as the work up to the first event: too high a value costs a program a
     * few slower turns, too low a one lets programs move that should not, which slows all others.
     */
    double savedMillis(CallProfile call) {
        Kept possible = canKeep(call);
        if (possible == Kept.NOTHING) {
            return 0;
        }
        RouteCost route = routes.get(call.route());
        MovingMean saved = route == null ? null : savings(route, possible);
        return saved == null || saved.samples() < MINIMUM_SAMPLES
                ? Math.max(INITIAL_MILLIS, whereKept(call).untilFirstEvent())
                : Math.max(0, saved.mean());
    }

    private static MovingMean savings(RouteCost route, Kept possible) {
        return possible == Kept.HISTORY ? route.savedByHistory : route.savedBySharedPart;
    }

    /**
     * Records what a call cost. A call at an endpoint that has kept nothing of it shows the work
     * saved, by the time until its first event: that is when the prompt is read.
     *
     * @param totalMillis the time until the end of the response, at an idle endpoint of speed 1
     * @param firstEventMillis the time until its first event
     */
    void record(CallProfile call, Kept kept, double totalMillis, double firstEventMillis) {
        RouteCost route = routes.computeIfAbsent(call.route(), unused -> new RouteCost());
        if (kept != canKeep(call)) {
            double expected = whereKept(call).untilFirstEvent();
            savings(route, canKeep(call)).add(firstEventMillis - expected);
            return;
        }
        classes.computeIfAbsent(SizeClass.of(call), unused -> new Cost())
                .add(totalMillis, firstEventMillis);
        route.all.add(totalMillis, firstEventMillis);
    }
}
