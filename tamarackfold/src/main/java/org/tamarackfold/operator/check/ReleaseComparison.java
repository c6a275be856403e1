package org.tamarackfold.operator.check;

import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Seq;
import io.vavr.collection.Stream;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.tamarackfold.operator.CallLimit;
import org.tamarackfold.operator.Customer;
import org.tamarackfold.operator.Customers;
import org.tamarackfold.operator.Release;
import org.tamarackfold.operator.Route;

/** Lists what a release changes for callers, compared with the version in force. */
public final class ReleaseComparison {
    private ReleaseComparison() {}

    /** Returns the differences: authentication first, then routes, then customers. */
    public static Vector<Difference> differences(Release inForce, Release next) {
        return authentication(inForce, next)
                .toVector()
                .appendAll(
                        compare(
                                byName(inForce.routes(), route -> "route " + route.name()),
                                byName(next.routes(), route -> "route " + route.name()),
                                _ -> "",
                                ReleaseComparison::routeChanges))
                .appendAll(
                        compare(
                                customersByName(inForce),
                                customersByName(next),
                                ReleaseComparison::keyCount,
                                ReleaseComparison::customerChanges));
    }

    private static Option<Difference> authentication(Release inForce, Release next) {
        boolean before = inForce.customers().isDefined();
        boolean after = next.customers().isDefined();
        return Option.when(
                before != after,
                () ->
                        new Difference(
                                "release",
                                after
                                        ? "callers need keys from now on"
                                        : "callers need no keys any more"));
    }

    private static Map<String, Customer> customersByName(Release release) {
        return byName(
                release.customers().map(Customers::all).getOrElse(Vector.empty()),
                customer -> "customer " + customer.name());
    }

    /** Returns the entries in their order; a name that is used again gets a number. */
    private static <T> Map<String, T> byName(Seq<T> entries, Function<T, String> name) {
        return entries.foldLeft(
                LinkedHashMap.<String, T>empty(),
                (map, entry) -> map.put(unusedName(map, name.apply(entry)), entry));
    }

    private static String unusedName(Map<String, ?> used, String name) {
        return used.containsKey(name)
                ? Stream.from(2)
                        .map(number -> name + " (number " + number + ")")
                        .find(candidate -> !used.containsKey(candidate))
                        .get()
                : name;
    }

    /**
     * Compares entries by name.
     *
     * @param detail what is said of an entry that is added or removed
     * @param changes what differs between two entries of the same name
     */
    private static <T> Vector<Difference> compare(
            Map<String, T> inForce,
            Map<String, T> next,
            Function<T, String> detail,
            BiFunction<T, T, Seq<String>> changes) {
        Seq<Difference> removed =
                inForce.filterKeys(name -> !next.containsKey(name))
                        .toVector()
                        .map(entry -> new Difference(entry._1, "removed" + detail.apply(entry._2)));
        Seq<Difference> others =
                next.toVector()
                        .flatMap(
                                entry ->
                                        inForce.get(entry._1)
                                                .map(old -> changes.apply(old, entry._2))
                                                .getOrElse(
                                                        () ->
                                                                Vector.of(
                                                                        "added"
                                                                                + detail.apply(
                                                                                        entry._2)))
                                                .map(text -> new Difference(entry._1, text)));
        return removed.toVector().appendAll(others);
    }

    private static Seq<String> routeChanges(Route before, Route after) {
        return Vector.of(
                        changed("moved", place(before), place(after)),
                        changed("services changed", services(before), services(after)),
                        Option.when(
                                before.isPublic() != after.isPublic(),
                                after.isPublic() ? "public from now on" : "not public any more"))
                .flatMap(change -> change);
    }

    private static Option<String> changed(String what, String before, String after) {
        return Option.when(!before.equals(after), () -> what + " from " + before + " to " + after);
    }

    private static String place(Route route) {
        return route.host() + route.prefix();
    }

    private static String services(Route route) {
        return route.services()
                .map(weighted -> weighted.service() + " (" + weighted.weight() + ")")
                .mkString(", ");
    }

    private static String keyCount(Customer customer) {
        return " with " + keys(customer.keys().distinct().size());
    }

    private static Seq<String> customerChanges(Customer before, Customer after) {
        int revoked = before.keys().distinct().removeAll(after.keys()).size();
        int added = after.keys().distinct().removeAll(before.keys()).size();
        return Vector.of(
                        Option.when(revoked > 0, () -> keys(revoked) + " revoked"),
                        Option.when(added > 0, () -> keys(added) + " added"),
                        limitChange("rate", before, after, CallLimit::callsPerSecond),
                        limitChange("burst", before, after, CallLimit::burst),
                        changed("priority changed", priority(before), priority(after)))
                .flatMap(change -> change);
    }

    private static String keys(int count) {
        return count == 1 ? "1 key" : count + " keys";
    }

    private static String priority(Customer customer) {
        return customer.priority().map(String::valueOf).getOrElse("that of the route");
    }

    /** No limit is above any limit. */
    private static Option<String> limitChange(
            String name, Customer before, Customer after, Function<CallLimit, Double> value) {
        Option<Double> old = before.limit().map(value);
        Option<Double> changed = after.limit().map(value);
        int order =
                Double.compare(
                        changed.getOrElse(Double.POSITIVE_INFINITY),
                        old.getOrElse(Double.POSITIVE_INFINITY));
        return Option.when(
                order != 0,
                () ->
                        name
                                + (order < 0 ? " lowered from " : " raised from ")
                                + old.map(String::valueOf).getOrElse("no limit")
                                + " to "
                                + changed.map(String::valueOf).getOrElse("no limit"));
    }
}
