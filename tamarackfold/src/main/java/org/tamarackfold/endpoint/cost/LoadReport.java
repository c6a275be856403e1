package org.tamarackfold.endpoint.cost;

import io.vavr.collection.Vector;
import org.tamarackfold.endpoint.share.ReportedWork;
import org.tamarackfold.id.HostId;
import org.tamarackfold.id.ServiceName;

/**
 * What a host reports about the endpoints of a service.
 *
 * @param host the reporting host
 * @param placements the programs that it has begun or moved since a report that was answered
 * @param placementsSeen the sequence number of the last placements that it has received
 * @param work the work of its customers; none where no shares are computed
 */
public record LoadReport(
        HostId host,
        ServiceName service,
        Vector<EndpointReport> endpoints,
        Vector<ProgramPlacement> placements,
        long placementsSeen,
        ReportedWork work) {
    /** Creates a report that names no customers. */
    public LoadReport(
            HostId host,
            ServiceName service,
            Vector<EndpointReport> endpoints,
            Vector<ProgramPlacement> placements,
            long placementsSeen) {
        this(host, service, endpoints, placements, placementsSeen, ReportedWork.NONE);
    }
}
