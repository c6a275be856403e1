package org.tamarackfold.daemon.soak;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.tamarackfold.id.HostId;

/**
 * Compares first tries at hosts that are cut off from all endpoints with those at the others. Used
 * under the monitor of its ledger.
 */
final class ContactCheck {
    /** First tries at the cut hosts must be served so often, compared with the others. */
    private static final double LEAST_SHARE = 2.0 / 3;

    /**
     * So many first tries may fail without a violation, and one more in {@link #TRIES_A_FAILURE}.
     */
    private static final int ALLOWED_FAILURES = 10;

    private static final int TRIES_A_FAILURE = 50;

    private final Set<HostId> cutHosts;
    private final Map<Boolean, int[]> triesAndServed = new HashMap<>();

    ContactCheck(Set<HostId> cutHosts) {
        this.cutHosts = cutHosts;
        triesAndServed.put(true, new int[2]);
        triesAndServed.put(false, new int[2]);
    }

    void add(HostId host, boolean served) {
        int[] counts = triesAndServed.get(cutHosts.contains(host));
        counts[0]++;
        counts[1] += served ? 1 : 0;
    }

    boolean isBroken() {
        int[] cut = triesAndServed.get(true);
        int[] others = triesAndServed.get(false);
        int failed = cut[0] - cut[1];
        return others[0] > 0
                && failed > ALLOWED_FAILURES + (cut[0] + others[0]) / TRIES_A_FAILURE
                && (double) cut[1] / cut[0] < LEAST_SHARE * others[1] / others[0];
    }

    @Override
    public String toString() {
        int[] cut = triesAndServed.get(true);
        int[] others = triesAndServed.get(false);
        return "%d of %d first tries served at %s, %d of %d at the others"
                .formatted(cut[1], cut[0], cutHosts, others[1], others[0]);
    }
}
