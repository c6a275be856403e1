package org.tamarackfold.operator;

import io.vavr.Tuple;
import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.Locale;
import org.tamarackfold.id.ReleaseVersion;
import org.tamarackfold.id.ServiceName;

/** What operators have put in force: routes, services and limits under one version. */
public final class Release {
    private final ReleaseVersion version;
    private final Map<String, Seq<Route>> routesByHost;
    private final Map<ServiceName, ServiceDefinition> services;
    private final CallerLimits limits;

    /**
     * Creates a release.
     *
     * @param version increases with every change
     * @param routes the routes; for a host, the longest matching prefix applies
     * @param services the services
     * @param limits the bounds for callers
     */
    public Release(
            ReleaseVersion version,
            Seq<Route> routes,
            Seq<ServiceDefinition> services,
            CallerLimits limits) {
        this.version = version;
        this.routesByHost =
                routes.groupBy(Route::host)
                        .mapValues(
                                entries ->
                                        Vector.ofAll(entries)
                                                .sortBy(route -> -route.prefix().length()));
        this.services = HashMap.ofEntries(services.map(s -> Tuple.of(s.name(), s)));
        this.limits = limits;
    }

    /** Returns the version. */
    public ReleaseVersion version() {
        return version;
    }

    /** Returns the bounds for callers. */
    public CallerLimits limits() {
        return limits;
    }

    /** Returns the route of a call; none when no prefix matches. */
    public Option<Route> routeFor(String host, String path) {
        return routesByHost
                .get(host.toLowerCase(Locale.ROOT))
                .flatMap(routes -> routes.find(route -> path.startsWith(route.prefix())));
    }

    /** Returns the definition of a service. */
    public Option<ServiceDefinition> service(ServiceName name) {
        return services.get(name);
    }
}
