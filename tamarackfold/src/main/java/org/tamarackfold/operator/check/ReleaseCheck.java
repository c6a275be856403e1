package org.tamarackfold.operator.check;

import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import org.tamarackfold.operator.Release;
import org.tamarackfold.operator.Route;
import org.tamarackfold.operator.ServiceDefinition;

/** Finds entries of a well-formed release that have no effect or contradict each other. */
public final class ReleaseCheck {
    private ReleaseCheck() {}

    /** Returns the findings in the order of the release: routes, services, customers. */
    public static Vector<Finding> findings(Release release) {
        return RouteCheck.findings(release)
                .appendAll(release.services().flatMap(service -> unused(release, service)))
                .appendAll(
                        release.customers()
                                .toVector()
                                .flatMap(customers -> CustomerCheck.findings(customers.all())));
    }

    /** Returns the findings of a release that is to replace the one in force. */
    public static Vector<Finding> findings(Release release, Release inForce) {
        Vector<Finding> findings = findings(release);
        return release.version().compareTo(inForce.version()) > 0
                ? findings
                : findings.prepend(
                        Finding.error(
                                "release",
                                "version "
                                        + release.version()
                                        + " is not above version "
                                        + inForce.version()
                                        + " in force, so that hosts ignore it"));
    }

    private static Seq<Finding> unused(Release release, ServiceDefinition service) {
        return release.routes().exists(route -> leadsTo(route, service))
                ? Vector.empty()
                : Vector.of(Finding.warning("service " + service.name(), "no route leads to it"));
    }

    private static boolean leadsTo(Route route, ServiceDefinition service) {
        return route.services().exists(weighted -> weighted.service().equals(service.name()));
    }
}
