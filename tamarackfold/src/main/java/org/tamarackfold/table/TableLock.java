package org.tamarackfold.table;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;

/**
 * Lock of one shared table.
 *
 * <p>To prevent deadlocks, a thread acquires a lock only while it holds none of an equal or higher
 * rank. It never performs I/O while it holds a lock. The order is checked when the system property
 * {@code tamarackfold.lock.check} is {@code true}, as in tests.
 */
public final class TableLock {
    private static final boolean CHECK_ORDER = Boolean.getBoolean("tamarackfold.lock.check");
    private static final ThreadLocal<Deque<LockRank>> HELD_RANKS =
            ThreadLocal.withInitial(ArrayDeque::new);

    private final LockRank rank;
    private final ReentrantLock lock = new ReentrantLock();

    /** Creates a lock; several locks may have the same rank, if no thread holds two of them. */
    public TableLock(LockRank rank) {
        this.rank = rank;
    }

    /**
     * Runs a computation while holding this lock and returns its result.
     *
     * @throws IllegalStateException when the order is checked and the thread holds a lock of an
     *     equal or higher rank
     */
    public <T> T withLock(Supplier<T> computation) {
        acquire();
        try {
            return computation.get();
        } finally {
            release();
        }
    }

    /** Runs an action while holding this lock; see {@link #withLock(Supplier)}. */
    public void run(Runnable action) {
        withLock(
                () -> {
                    action.run();
                    return null;
                });
    }

    private void acquire() {
        if (CHECK_ORDER) {
            checkOrder();
            HELD_RANKS.get().push(rank);
        }
        lock.lock();
    }

    private void release() {
        lock.unlock();
        if (CHECK_ORDER) {
            HELD_RANKS.get().pop();
        }
    }

    private void checkOrder() {
        LockRank highest = HELD_RANKS.get().peek();
        if (highest != null && highest.compareTo(rank) >= 0) {
            throw new IllegalStateException(
                    "Lock order violated: " + rank + " requested while holding " + highest);
        }
    }
}
