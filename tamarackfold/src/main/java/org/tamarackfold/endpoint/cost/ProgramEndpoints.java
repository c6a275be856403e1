package org.tamarackfold.endpoint.cost;

import io.vavr.control.Option;
import java.util.LinkedHashMap;
import java.util.Map;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.ProgramId;

/** The endpoints at which the last turns of programs ran. Not thread-safe. */
final class ProgramEndpoints {
    /**
     * Programs that are kept; the least recently used is dropped. Endpoints keep about 35 programs
     * each, so that 100 endpoints keep no more.
     */
    private static final int MAXIMUM_PROGRAMS = 4_096;

    private final Map<ProgramId, Place> places =
            new LinkedHashMap<>(64, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<ProgramId, Place> eldest) {
                    return size() > MAXIMUM_PROGRAMS;
                }
            };

    /**
     * An endpoint of a program.
     *
     * @param sinceNanos when a turn of the program was first placed at this start of it
     */
    record Place(EndpointId endpoint, long sinceNanos) {}

    Option<Place> get(ProgramId program) {
        return Option.of(places.get(program));
    }

    /**
     * Records where a turn runs; returns whether the endpoint has not kept the turn before: that
     * ran elsewhere, or at an earlier start of the endpoint.
     *
     * @param startKnownSinceNanos when this host first heard of this start of the endpoint
     */
    boolean put(ProgramId program, EndpointId endpoint, long startKnownSinceNanos, long nowNanos) {
        Place previous = places.get(program);
        if (previous != null
                && previous.endpoint().equals(endpoint)
                && previous.sinceNanos() - startKnownSinceNanos >= 0) {
            return false;
        }
        places.put(program, new Place(endpoint, nowNanos));
        return true;
    }
}
