package org.tamarackfold.endpoint.cost;

import io.vavr.control.Option;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.tamarackfold.id.EndpointId;

/** When a call is expected to be complete at each endpoint, as of one point in time. Immutable. */
public final class CompletionTimes {
    /**
     * Candidates up to this multiple of the earliest completion count as equal: estimates are no
     * more exact, and hosts that all chose the very best one would crowd there.
     */
    private static final double EQUALITY_RATIO = 1.1;

    /**
     * A program leaves its endpoint only when the call takes longer there than this multiple of the
     * earliest completion. Callers accept programs of about twice the time on idle endpoints; and
     * programs that leave at a smaller difference all arrive at the same endpoint before the next
     * totals show it.
     */
    private static final double MOVING_RATIO = 2;

    /**
     * Candidates that are compared, besides those that keep a part of the prompt, by the rank of
     * their hash: all hosts know the load of some 100 ms ago, and if each compared all endpoints,
     * the calls of that time would go to the same one.
     */
    private static final int SAMPLED_CANDIDATES = 4;

    /** Least expected time; the bonus for a rate-limited endpoint may exceed the time of a call. */
    private static final double MINIMUM_MILLIS = 1;

    private final CostEstimate whereKept;
    private final double savedMillis;
    private final Kept canKeep;
    private final Option<EndpointId> historyAt;
    private final boolean guessesByHash;
    private final Map<EndpointId, Condition> conditions;
    private final double medianSpeed;

    /**
     * The condition of an endpoint.
     *
     * @param keepsHistory whether it can have kept the history of a program that it ran last
     */
    record Condition(
            long startedAtMillis,
            double speed,
            double remainingMillis,
            double inFlight,
            boolean keepsHistory) {}

    /**
     * The choice of an endpoint.
     *
     * @param kept what the endpoint is expected to have kept of the prompt
     * @param millis the expected time until the call is complete
     */
    public record Choice(Candidate candidate, Kept kept, double millis) {}

    CompletionTimes(
            CostModel model,
            CallProfile call,
            Option<EndpointId> historyAt,
            boolean hasTotals,
            Map<EndpointId, Condition> conditions,
            double medianSpeed) {
        this.canKeep = CostModel.canKeep(call);
        this.whereKept = model.estimate(call, canKeep);
        this.savedMillis = model.savedMillis(call);
        this.historyAt = historyAt;
        this.guessesByHash = !hasTotals && historyAt.isEmpty() && call.program().isDefined();
        this.conditions = conditions;
        this.medianSpeed = medianSpeed;
    }

    /**
     * Chooses the endpoint at which the call is complete first, with preference for the one that
     * keeps the history of the program.
     *
     * @param candidates at least one
     */
    public Choice choose(List<Candidate> candidates) {
        List<Candidate> ranked =
                candidates.stream()
                        .sorted(Comparator.comparingDouble(CompletionTimes::rank))
                        .toList();
        Option<EndpointId> home =
                guessesByHash ? Option.some(ranked.getFirst().instance().id()) : historyAt;
        List<Choice> choices =
                Stream.concat(
                                ranked.stream().filter(candidate -> keepsPart(candidate, home)),
                                ranked.stream().limit(SAMPLED_CANDIDATES))
                        .map(candidate -> evaluate(candidate, home))
                        .toList();
        double earliest = choices.stream().mapToDouble(Choice::millis).min().orElseThrow();
        return choices.stream()
                .filter(choice -> isHome(choice, home))
                .filter(choice -> choice.millis() <= earliest * MOVING_RATIO)
                .findFirst()
                .orElseGet(() -> firstByHash(choices, earliest * EQUALITY_RATIO));
    }

    /** Hosts that do not know yet where a program runs thus choose the same one of equal ones. */
    private static Choice firstByHash(List<Choice> choices, double latestMillis) {
        return choices.stream()
                .filter(choice -> choice.millis() <= latestMillis)
                .max(Comparator.comparingDouble(choice -> choice.candidate().hash()))
                .orElseThrow();
    }

    /** Endpoints with a penalty, as for another zone or a failure, are sampled less or last. */
    private static double rank(Candidate candidate) {
        return candidate.penalty() - candidate.hash();
    }

    private static boolean keepsPart(Candidate candidate, Option<EndpointId> home) {
        return candidate.hasSharedPart() || home.contains(candidate.instance().id());
    }

    /**
     * Returns whether the program should stay at an endpoint. Without totals, hosts do not tell
     * each other where programs run: each then expects them where their hash places them.
     */
    private boolean isHome(Choice choice, Option<EndpointId> home) {
        boolean isGuess = guessesByHash && home.contains(choice.candidate().instance().id());
        return choice.kept() == Kept.HISTORY || isGuess;
    }

    private Choice evaluate(Candidate candidate, Option<EndpointId> home) {
        EndpointInstance instance = candidate.instance();
        Condition condition = conditions.get(instance.id());
        if (condition == null || condition.startedAtMillis() != instance.startedAtMillis()) {
            condition =
                    new Condition(instance.startedAtMillis(), medianSpeed, 0, 0, condition == null);
        }
        Kept kept = kept(candidate, condition, home);
        double unsaved = kept == canKeep ? 0 : savedMillis;
        double work = whereKept.total() + unsaved;
        double delay = waiting(instance, condition, work) + interference(condition, unsaved);
        double millis =
                (work + delay) / relative(condition.speed())
                        + candidate.penalty() * whereKept.total();
        return new Choice(candidate, kept, Math.max(MINIMUM_MILLIS, millis));
    }

    private double relative(double speed) {
        return speed / medianSpeed;
    }

    private Kept kept(Candidate candidate, Condition condition, Option<EndpointId> home) {
        if (canKeep == Kept.HISTORY) {
            return (guessesByHash || condition.keepsHistory())
                            && home.contains(candidate.instance().id())
                    ? Kept.HISTORY
                    : Kept.NOTHING;
        }
        return canKeep == Kept.SHARED_PART && candidate.hasSharedPart()
                ? Kept.SHARED_PART
                : Kept.NOTHING;
    }

    /**
     * Returns the time that the other calls at the endpoint lose while it reads the prompt: reading
     * stops the whole batch, so that each of them is delayed as long as this call is. A program
     * reads its new input wherever it runs; elsewhere than at its endpoint it also reads its
     * history.
     */
    private double interference(Condition condition, double unsaved) {
        double reading = canKeep == Kept.HISTORY ? unsaved : whereKept.untilFirstEvent() + unsaved;
        return reading * condition.inFlight();
    }

    /**
     * Returns the work by which the calls in flight delay this one: their share of the steps, for
     * as long as this call runs. Without a free slot it waits about as long as it runs, or is
     * rejected.
     */
    private static double waiting(EndpointInstance instance, Condition condition, double work) {
        double besideCall = Math.min(condition.remainingMillis(), condition.inFlight() * work);
        double full = condition.inFlight() >= instance.slots() ? work : 0;
        return besideCall / Math.max(1, instance.slots()) + full;
    }
}
