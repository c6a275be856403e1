package org.tamarackfold.operator.check;

import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.time.Duration;
import org.tamarackfold.operator.Release;
import org.tamarackfold.operator.Route;
import org.tamarackfold.operator.WeightedService;

/** Finds routes that match no call or have limits that contradict each other. */
final class RouteCheck {
    private RouteCheck() {}

    static Vector<Finding> findings(Release release) {
        return release.routes()
                .toVector()
                .zipWithIndex()
                .flatMap(indexed -> findings(release, indexed._1, indexed._2));
    }

    private static Seq<Finding> findings(Release release, Route route, int index) {
        Seq<Route> earlier = release.routes().take(index);
        return Vector.of(
                        nameTwice(route, earlier),
                        shadowed(route, earlier),
                        unmatchedHost(route),
                        unmatchedPrefix(route),
                        timeoutBelowTarget(route),
                        attemptsBeyondTimeout(route))
                .flatMap(problem -> problem)
                .appendAll(route.services().flatMap(service -> services(release, service)))
                .map(problem -> Finding.warning("route " + route.name(), problem));
    }

    private static Option<String> nameTwice(Route route, Seq<Route> earlier) {
        return Option.when(
                earlier.exists(other -> other.name().equals(route.name())),
                "name: an earlier route has the same name, so that logs do not tell them apart");
    }

    private static Option<String> shadowed(Route route, Seq<Route> earlier) {
        return earlier.find(other -> isAtSamePlace(other, route))
                .map(
                        other ->
                                "prefix: never matches, because the earlier route "
                                        + other.name()
                                        + " has the same host and prefix");
    }

    private static boolean isAtSamePlace(Route one, Route other) {
        return one.host().equals(other.host()) && one.prefix().equals(other.prefix());
    }

    private static Option<String> unmatchedHost(Route route) {
        return Option.when(
                route.host().isEmpty() || route.host().contains("/") || hasPort(route.host()),
                "host: never matches, because it is not a host name without port");
    }

    private static boolean hasPort(String host) {
        return host.matches("[^:]*:\\d*");
    }

    private static Option<String> unmatchedPrefix(Route route) {
        return Option.when(
                !route.prefix().startsWith("/"),
                "prefix: never matches, because it does not begin with a slash");
    }

    private static Option<String> timeoutBelowTarget(Route route) {
        return Option.when(
                route.statesTargetLatency() && isBelowTarget(route),
                () ->
                        "timeout: "
                                + millis(route.timeout())
                                + " is below the target latency of "
                                + millis(route.targetLatency()));
    }

    private static boolean isBelowTarget(Route route) {
        return route.timeout().compareTo(route.targetLatency()) < 0;
    }

    /** A timeout below the target latency is a finding of its own. */
    private static Option<String> attemptsBeyondTimeout(Route route) {
        Duration attempts = route.targetLatency().multipliedBy(route.maximumAttempts());
        return Option.when(
                route.statesTargetLatency()
                        && !isBelowTarget(route)
                        && attempts.compareTo(route.timeout()) > 0,
                () ->
                        "maximum attempts: "
                                + route.maximumAttempts()
                                + " attempts at the target latency take "
                                + millis(attempts)
                                + ", more than the timeout of "
                                + millis(route.timeout()));
    }

    private static String millis(Duration duration) {
        return duration.toMillis() + " ms";
    }

    private static Seq<String> services(Release release, WeightedService weighted) {
        return Vector.of(
                        Option.when(
                                release.service(weighted.service()).isEmpty(),
                                "service: " + weighted.service() + " has no definition"),
                        Option.when(
                                !(weighted.weight() > 0),
                                "weight: "
                                        + weighted.service()
                                        + " receives no calls, because its weight is not above 0"))
                .flatMap(problem -> problem);
    }
}
