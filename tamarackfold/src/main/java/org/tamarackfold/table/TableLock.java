package org.tamarackfold.table;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;

/**
 * Lock of one shared table.
 *
 * <p>A thread takes a lock only while it holds none of an equal or higher rank, and never performs
 * I/O while it holds one. The order is checked when the system property {@code
 * tamarackfold.lock.check} is {@code true}; tests set it.
 */
public final class TableLock {
    private static final boolean CHECKED = Boolean.getBoolean("tamarackfold.lock.check");
    private static final ThreadLocal<Deque<LockRank>> HELD =
            ThreadLocal.withInitial(ArrayDeque::new);

    private final LockRank rank;
    private final ReentrantLock lock = new ReentrantLock();

    /** Creates a lock of the given rank. */
    public TableLock(LockRank rank) {
        this.rank = rank;
    }

    /**
     * Runs a computation under this lock.
     *
     * @throws IllegalStateException when the check is on and the thread holds an equal or higher
     *     rank
     */
    public <T> T locked(Supplier<T> computation) {
        enter();
        try {
            return computation.get();
        } finally {
            leave();
        }
    }

    /** Runs an action under this lock, as {@link #locked(Supplier)} does. */
    public void run(Runnable action) {
        locked(
                () -> {
                    action.run();
                    return null;
                });
    }

    private void enter() {
        if (CHECKED) {
            checkOrder();
            HELD.get().push(rank);
        }
        lock.lock();
    }

    private void leave() {
        lock.unlock();
        if (CHECKED) {
            HELD.get().pop();
        }
    }

    private void checkOrder() {
        LockRank highest = HELD.get().peek();
        if (highest != null && highest.compareTo(rank) >= 0) {
            throw new IllegalStateException("Lock " + rank + " requested while holding " + highest);
        }
    }
}
