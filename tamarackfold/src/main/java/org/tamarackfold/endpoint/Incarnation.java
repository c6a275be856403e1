package org.tamarackfold.endpoint;

import org.tamarackfold.id.EndpointId;

/**
 * One start of an endpoint.
 *
 * @param startedAtMillis the start of its process, in milliseconds since the Unix epoch; 0 when
 *     unknown
 */
public record Incarnation(EndpointId id, long startedAtMillis) {
    /** Returns the start of an endpoint to which a registration belongs. */
    public static Incarnation of(EndpointRecord record) {
        return new Incarnation(record.id(), record.startedAtMillis());
    }

    boolean hasStartTime() {
        return startedAtMillis != 0;
    }
}
