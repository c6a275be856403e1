package org.tamarackfold.operator;

import io.vavr.Tuple;
import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.Locale;
import org.tamarackfold.id.CustomerName;
import org.tamarackfold.id.ReleaseVersion;
import org.tamarackfold.id.ServiceName;

/** One version of the configuration that operators publish. Immutable. */
public final class Release {
    private final ReleaseVersion version;
    private final Seq<Route> routes;
    private final Map<String, Seq<Route>> routesByHost;
    private final Map<ServiceName, ServiceDefinition> services;
    private final CallerLimits limits;
    private final Option<Customers> customers;

    /**
     * Creates a release without customers.
     *
     * @param version increases with every published change
     * @param routes the routes; among those of a host, the longest matching prefix applies
     * @param limits the limits for callers
     */
    public Release(
            ReleaseVersion version,
            Seq<Route> routes,
            Seq<ServiceDefinition> services,
            CallerLimits limits) {
        this(version, routes, services, limits, Option.none());
    }

    /**
     * Creates a release.
     *
     * @param version increases with every published change
     * @param routes the routes; among those of a host, the longest matching prefix applies
     * @param limits the limits for callers
     * @param customers the customers; none when callers need no key
     */
    public Release(
            ReleaseVersion version,
            Seq<Route> routes,
            Seq<ServiceDefinition> services,
            CallerLimits limits,
            Option<Customers> customers) {
        this.version = version;
        this.routes = routes;
        this.routesByHost =
                routes.groupBy(Route::host)
                        .mapValues(
                                hostRoutes ->
                                        Vector.ofAll(hostRoutes)
                                                .sortBy(route -> -route.prefix().length()));
        this.services =
                HashMap.ofEntries(services.map(service -> Tuple.of(service.name(), service)));
        this.limits = limits;
        this.customers = customers;
    }

    /** Returns the version. */
    public ReleaseVersion version() {
        return version;
    }

    /** Returns the customers; none when callers need no key. */
    public Option<Customers> customers() {
        return customers;
    }

    /** Returns the limits for callers. */
    public CallerLimits limits() {
        return limits;
    }

    /** Returns all routes in the order of the release. */
    public Seq<Route> routes() {
        return routes;
    }

    /** Returns the definitions of all services, ordered by name. */
    public Seq<ServiceDefinition> services() {
        return services.values().sortBy(service -> service.name().value());
    }

    /** Returns the route of a call; none when the host is unknown or no prefix matches. */
    public Option<Route> routeFor(String host, String path) {
        return routesByHost
                .get(host.toLowerCase(Locale.ROOT))
                .flatMap(routes -> routes.find(route -> path.startsWith(route.prefix())));
    }

    /** Returns the priority of a call: that of its customer, or else that of its route. */
    public int priorityOf(Option<CustomerName> customer, Route route) {
        return customers
                .flatMap(known -> customer.flatMap(known::byName))
                .flatMap(Customer::priority)
                .getOrElse(route.priority());
    }

    /** Returns the definition of a service; none when the release does not define it. */
    public Option<ServiceDefinition> service(ServiceName name) {
        return services.get(name);
    }
}
