package org.tamarackfold.endpoint;

import java.util.ArrayDeque;
import java.util.Deque;
import org.tamarackfold.id.EndpointId;

/**
 * The calls that this host may send to one rate-limited endpoint. Time is divided into slots that
 * each allow one call, or a few at a high limit; this host uses those that belong to it. Guarded by
 * the lock of its table.
 *
 * <p>The permits of a slot expire. All hosts together thus hold at most the permits of one
 * lifetime, however many hosts there are, which bounds the calls when all of them become busy.
 */
final class RateLimitPermits {
    /**
     * Lifetime of a permit, in milliseconds. The calls of any 4 s are then at most those that the
     * limit allows in 5.5 s.
     */
    private static final long LIFETIME_MILLIS = 1_500;

    /** Upper bound of the slots a second, which bounds the work of finding their owners. */
    private static final double MAXIMUM_SLOTS_PER_SECOND = 20;

    /**
     * Rate at which all hosts together call an endpoint that states a lower limit, such as zero:
     * only a response can show that the limit has ended.
     */
    private static final double MINIMUM_CALLS_PER_SECOND = 0.25;

    private final EndpointId endpoint;

    /** The own slots that have started and have permits left, oldest first. */
    private final Deque<OwnSlot> slots = new ArrayDeque<>();

    /** Time of day up to which slots were added; no slot is added twice. */
    private long checkedUntilMillis;

    private static final class OwnSlot {
        private final long startMillis;
        private long permits;

        private OwnSlot(long startMillis, long permits) {
            this.startMillis = startMillis;
            this.permits = permits;
        }
    }

    RateLimitPermits(EndpointId endpoint) {
        this.endpoint = endpoint;
    }

    /** Returns the rate at which all hosts together may call an endpoint with a limit. */
    static double callsPerSecond(RateLimit limit) {
        return Math.max(limit.callsPerSecond(), MINIMUM_CALLS_PER_SECOND);
    }

    /**
     * Returns whether this host may send a call now.
     *
     * @param nowMillis the time of day, in milliseconds since the Unix epoch
     */
    boolean isAvailable(RateLimit limit, HostShares shares, long nowMillis) {
        addStartedSlots(callsPerSecond(limit), shares, nowMillis);
        while (!slots.isEmpty() && nowMillis - slots.peekFirst().startMillis > LIFETIME_MILLIS) {
            slots.removeFirst();
        }
        return !slots.isEmpty();
    }

    /** Uses the oldest permit; {@link #isAvailable} must have returned true. */
    void use() {
        OwnSlot oldest = slots.peekFirst();
        oldest.permits--;
        if (oldest.permits == 0) {
            slots.removeFirst();
        }
    }

    /** Adds the own slots that have started since the last call and are not expired. */
    private void addStartedSlots(double callsPerSecond, HostShares shares, long nowMillis) {
        if (checkedUntilMillis - nowMillis > LIFETIME_MILLIS) {
            // The time of day was set back.
            checkedUntilMillis = nowMillis;
            slots.clear();
        }
        double permitsPerSlot = Math.ceil(callsPerSecond / MAXIMUM_SLOTS_PER_SECOND);
        double slotMillis = 1_000 * permitsPerSlot / callsPerSecond;
        long fromMillis = Math.max(checkedUntilMillis, nowMillis - LIFETIME_MILLIS);
        long lastSlot = (long) (nowMillis / slotMillis);
        for (long slot = (long) (fromMillis / slotMillis) + 1; slot <= lastSlot; slot++) {
            if (shares.isOwnSlot(endpoint, slot)) {
                slots.addLast(new OwnSlot((long) (slot * slotMillis), (long) permitsPerSlot));
            }
        }
        checkedUntilMillis = Math.max(checkedUntilMillis, nowMillis);
    }
}
