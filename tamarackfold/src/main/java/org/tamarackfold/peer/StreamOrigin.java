package org.tamarackfold.peer;

import java.util.Comparator;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.id.SoftwareVersion;

/**
 * Where an event stream began. Only endpoints of the same service and software version can go on
 * with it.
 *
 * @param service the service of the endpoint
 * @param version the software version of the endpoint
 * @param attempt orders the origins that are recorded for one call before its first event reaches
 *     the caller; the highest is valid
 */
public record StreamOrigin(ServiceName service, SoftwareVersion version, int attempt) {
    /** Equal attempts do not occur; their order only keeps merged records equal on all hosts. */
    private static final Comparator<StreamOrigin> ORDER =
            Comparator.comparingInt(StreamOrigin::attempt)
                    .thenComparing(origin -> origin.version().value())
                    .thenComparing(StreamOrigin::service);

    /**
     * Returns the origin that is valid of two for the same call, whatever the order in which they
     * arrive.
     */
    static StreamOrigin latest(StreamOrigin first, StreamOrigin second) {
        return ORDER.compare(first, second) >= 0 ? first : second;
    }
}
