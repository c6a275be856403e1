package org.tamarackfold.daemon.soak;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;

/**
 * The keys of customers with the times at which releases added and withdrew them. Guarded by its
 * own monitor, within which no other lock is taken.
 */
public final class KeyTable {
    /** Keys of a customer in a release. */
    private static final int KEYS_PER_CUSTOMER = 2;

    /** Withdrawn keys of a customer that its callers go on to send. */
    private static final int REMEMBERED_KEYS = 2;

    private static final long NEVER = Long.MAX_VALUE;

    /**
     * The life of a key, on the clock of {@link System#nanoTime}.
     *
     * @param addedNanos when the release with the key was acknowledged
     * @param withdrawalNanos when the writing of the release without the key began
     * @param withdrawnNanos when that release was acknowledged
     */
    public record Life(
            Customer customer, long addedNanos, long withdrawalNanos, long withdrawnNanos) {
        boolean isValid(long fromNanos, long toNanos) {
            return addedNanos != NEVER && addedNanos <= fromNanos && toNanos < withdrawalNanos;
        }

        boolean isWithdrawn(long atNanos) {
            return withdrawnNanos != NEVER && withdrawnNanos <= atNanos;
        }
    }

    private final Vector<Customer> customers;
    private final Map<String, Life> lives = new HashMap<>();
    private final Map<Customer, Vector<String>> held = new HashMap<>();
    private final Map<Customer, Vector<String>> withdrawn = new HashMap<>();
    private int keyCount;

    /** Creates a table in which each customer has keys of the first release. */
    public KeyTable(Vector<Customer> customers) {
        this.customers = customers;
        for (Customer customer : customers) {
            held.put(customer, Vector.fill(KEYS_PER_CUSTOMER, () -> newKey(customer)));
            withdrawn.put(customer, Vector.empty());
        }
    }

    public Vector<Customer> customers() {
        return customers;
    }

    /** Returns the keys of a customer in the latest release. */
    public synchronized Vector<String> keys(Customer customer) {
        return held.get(customer);
    }

    /** Replaces the oldest key of each customer, before the release is written. */
    public synchronized void beginRotation(long nowNanos) {
        for (Customer customer : customers) {
            Vector<String> keys = held.get(customer);
            String oldest = keys.head();
            Life life = lives.get(oldest);
            lives.put(oldest, new Life(customer, life.addedNanos, nowNanos, NEVER));
            held.put(customer, keys.tail().append(newKey(customer)));
            withdrawn.merge(
                    customer,
                    Vector.of(oldest),
                    (older, newer) -> older.appendAll(newer).takeRight(REMEMBERED_KEYS));
        }
    }

    /** Records that the release with the latest keys is acknowledged. */
    public synchronized void acknowledge(long nowNanos) {
        lives.replaceAll(
                (key, life) ->
                        new Life(
                                life.customer,
                                life.addedNanos == NEVER ? nowNanos : life.addedNanos,
                                life.withdrawalNanos,
                                life.withdrawalNanos != NEVER && life.withdrawnNanos == NEVER
                                        ? nowNanos
                                        : life.withdrawnNanos));
    }

    /** Returns the life of a key; none when no release ever held it. */
    synchronized Option<Life> life(String key) {
        return Option.of(lives.get(key));
    }

    /**
     * Returns what a caller of a customer sends: mostly a key that the latest release holds,
     * sometimes one that is withdrawn or unknown, or none.
     */
    public synchronized Option<String> pick(Customer customer, Random random) {
        return switch (random.nextInt(40)) {
            case 0 -> Option.none();
            case 1 -> Option.some("unknown-" + random.nextInt());
            case 2, 3, 4, 5 -> pick(withdrawn.get(customer), random);
            default -> pick(held.get(customer), random);
        };
    }

    /** Returns a key of another customer. */
    public synchronized Option<String> pickForeign(Customer customer, Random random) {
        Vector<Customer> others = customers.remove(customer);
        return pick(held.get(others.get(random.nextInt(others.size()))), random);
    }

    private static Option<String> pick(Vector<String> keys, Random random) {
        return Option.when(!keys.isEmpty(), () -> keys.get(random.nextInt(keys.size())));
    }

    private String newKey(Customer customer) {
        String key = "soak-key-" + customer.name() + "-" + ++keyCount;
        lives.put(key, new Life(customer, NEVER, NEVER, NEVER));
        return key;
    }
}
