package org.tamarackfold.daemon.soak.runtime;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Set;

/**
 * Size and faults of a run.
 *
 * @param seed decides the faults and the calls; the timing of processes still differs between runs
 * @param duration the time of the faults; the start and the check of the recovery come on top
 * @param storageHosts the number of storage hosts, at least 2
 * @param loads the loads beside the callers
 * @param folder the folder for settings, data and logs
 */
public record SoakOptions(
        long seed,
        Duration duration,
        int entryHosts,
        int storageHosts,
        int callers,
        FaultSelection faults,
        Set<SoakLoad> loads,
        Path folder) {

    /** Which faults a run injects. */
    public enum FaultSelection {
        /** Planned stops, reloads, releases, and endpoints that leave and return. */
        PLANNED,
        /** Mostly unplanned faults. */
        UNPLANNED,
        /** Planned work and unplanned faults by turns. */
        ALL,
        /** As {@link #ALL}, with endpoints of two software versions. */
        VERSIONS,
        /** Entry hosts that are cut off from all endpoints, beside planned work. */
        CUTS,
        /** Endpoints that send bytes that are no response, beside planned work. */
        SPOILED_RESPONSES,
        /** Endpoints that send malformed heads, beside planned work. */
        SPOILED_HEADS,
        /** Requests that crash the endpoints that run them, beside planned work. */
        CRASHING_REQUESTS,
        /** Keys withdrawn while the key-value service rejects entry hosts, beside planned work. */
        KEYS;

        /** Returns whether episodes of planned work alone alternate with the faults. */
        boolean hasPlannedEpisodes() {
            return this == PLANNED || this == ALL || this == VERSIONS;
        }
    }
}
