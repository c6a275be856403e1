package org.tamarackfold.operator;

import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import io.vavr.control.Option;
import java.util.List;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.NoteId;
import org.tamarackfold.id.ReleaseVersion;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.id.TenantId;

/**
 * What is in force: the result of all accepted release notes.
 *
 * @param version increases with every accepted note
 * @param recentNotes the notes accepted last, newest last
 * @param services the services by name
 * @param endpoints the endpoints by id
 * @param tenants the tenants by id
 */
public record Release(
        ReleaseVersion version,
        List<NoteId> recentNotes,
        SortedMap<ServiceName, ServiceDefinition> services,
        SortedMap<EndpointId, EndpointDefinition> endpoints,
        SortedMap<TenantId, TenantDefinition> tenants) {
    /** The release before any note was accepted. */
    public static final Release EMPTY =
            new Release(
                    new ReleaseVersion(0),
                    List.of(),
                    TreeMap.empty(),
                    TreeMap.empty(),
                    TreeMap.empty());

    /** Copies the list. */
    public Release {
        recentNotes = List.copyOf(recentNotes);
    }

    /** Returns the endpoints of a service. */
    public io.vavr.collection.List<EndpointDefinition> endpointsOf(ServiceName service) {
        return endpoints.values().filter(endpoint -> endpoint.service().equals(service)).toList();
    }

    /** Tells whether an operation must not run twice. */
    public boolean forbidsSecondRun(ServiceName service, String operation) {
        Option<ServiceDefinition> definition = services.get(service);
        return definition.exists(found -> found.nonIdempotentOperations().contains(operation));
    }
}
