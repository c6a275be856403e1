package org.tamarackfold.id;

/**
 * Identifies one run of a host process.
 *
 * @param host the host
 * @param incarnation the start of the process
 */
public record MemberId(HostId host, Incarnation incarnation) {
    @Override
    public String toString() {
        return host + "@" + incarnation;
    }
}
