package org.tamarackfold.endpoint.cost;

import io.vavr.collection.Vector;
import org.tamarackfold.endpoint.share.ShareTotals;

/**
 * The sum of the reports of all hosts about a service.
 *
 * @param placements the programs that other hosts have begun or moved
 * @param placementsSequence the sequence number of the last one of them
 * @param shares the customers over their share of the service
 */
public record LoadTotals(
        Vector<EndpointReport> endpoints,
        Vector<ProgramPlacement> placements,
        long placementsSequence,
        ShareTotals shares) {
    /** Creates totals that name no customers. */
    public LoadTotals(
            Vector<EndpointReport> endpoints,
            Vector<ProgramPlacement> placements,
            long placementsSequence) {
        this(endpoints, placements, placementsSequence, ShareTotals.NONE);
    }
}
