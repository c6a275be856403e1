package org.tamarackfold.keyvalue.relay;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.tamarackfold.keyvalue.KeyValueService;
import org.tamarackfold.keyvalue.KeyValueService.Change;
import org.tamarackfold.table.LockRank;
import org.tamarackfold.table.TableLock;

/**
 * The recent changes that this host has read, for the hosts that ask it for changes, and how
 * current they are. Every entry host keeps one, so that a host that becomes a source has changes of
 * the time before. Thread-safe.
 */
public final class ChangeLog {
    private static final int MAXIMUM_CHANGES = 4_096;

    /** Upper bound of keys and values; 2% of the heap of a small entry host. */
    private static final int MAXIMUM_BYTES = 2_000_000;

    private final TableLock lock = new TableLock(LockRank.CHANGES);
    private final Deque<Change> changes = new ArrayDeque<>();
    private long bytes;
    private boolean started;

    /** The revision after which all changes are in the log. */
    private long completeAfter;

    private long asOf;
    private Option<Long> confirmedAtNanos = Option.none();
    private boolean outOfReach;
    private Option<Long> lastOutageNanos = Option.none();

    /** Called when all keys were listed; the changes before the listing may have been missed. */
    public void onListing(long listedAsOf, long confirmedAt) {
        lock.run(
                () -> {
                    if (!started || listedAsOf != asOf) {
                        restart(listedAsOf);
                    }
                    confirm(confirmedAt);
                });
    }

    private void restart(long revision) {
        changes.clear();
        bytes = 0;
        completeAfter = revision;
        asOf = revision;
        started = true;
    }

    /**
     * Called with the changes between two revisions; those that the log has already are left out.
     */
    public void onChanges(
            long afterRevision, Vector<Change> read, long readAsOf, long confirmedAt) {
        lock.run(
                () -> {
                    if (!started || afterRevision > asOf) {
                        restart(afterRevision);
                    }
                    long known = asOf;
                    read.filter(change -> change.revision() > known).forEach(this::append);
                    asOf = Math.max(asOf, readAsOf);
                    trim();
                    confirm(confirmedAt);
                });
    }

    private void append(Change change) {
        changes.addLast(change);
        bytes += sizeOf(change);
    }

    private void trim() {
        while (changes.size() > MAXIMUM_CHANGES || bytes > MAXIMUM_BYTES) {
            Change oldest = changes.removeFirst();
            bytes -= sizeOf(oldest);
            completeAfter = oldest.revision();
        }
    }

    private static int sizeOf(Change change) {
        int keyBytes = change.key().getBytes(StandardCharsets.UTF_8).length;
        return switch (change) {
            case Change.Written(KeyValueService.Item item) -> keyBytes + item.value().length;
            case Change.Removed(String _, long _) -> keyBytes;
        };
    }

    private void confirm(long confirmedAt) {
        if (outOfReach) {
            outOfReach = false;
            lastOutageNanos = Option.some(confirmedAt);
        }
        confirmedAtNanos =
                confirmedAtNanos.filter(known -> known - confirmedAt > 0).orElse(some(confirmedAt));
    }

    private static Option<Long> some(long nanos) {
        return Option.some(nanos);
    }

    /** Called when neither the service nor a source has answered. */
    public void onOutage() {
        lock.run(() -> outOfReach = true);
    }

    /** Returns when the service last confirmed the state of this host. */
    public Option<Long> confirmedAtNanos() {
        return lock.withLock(() -> confirmedAtNanos);
    }

    /** Returns the changes after a revision. */
    public ChangesReply since(long revision, long nowNanos) {
        return lock.withLock(
                () -> {
                    if (!started) {
                        return new ChangesReply.NotStarted();
                    }
                    ChangesReply.Confirmation confirmation = confirmation(nowNanos);
                    return revision < completeAfter
                            ? new ChangesReply.Unavailable(confirmation)
                            : new ChangesReply.Changes(after(revision), asOf, confirmation);
                });
    }

    /** Returns the newest changes, from the end: most hosts ask for none or a few. */
    private Vector<Change> after(long revision) {
        Deque<Change> newer = new ArrayDeque<>();
        var newestFirst = changes.descendingIterator();
        while (newestFirst.hasNext()) {
            Change change = newestFirst.next();
            if (change.revision() <= revision) {
                break;
            }
            newer.addFirst(change);
        }
        return Vector.ofAll(newer);
    }

    private ChangesReply.Confirmation confirmation(long nowNanos) {
        Option<Duration> outageAge =
                outOfReach
                        ? Option.some(Duration.ZERO)
                        : lastOutageNanos.map(at -> age(at, nowNanos));
        return new ChangesReply.Confirmation(
                age(confirmedAtNanos.getOrElse(nowNanos), nowNanos), outageAge);
    }

    private static Duration age(long atNanos, long nowNanos) {
        return Duration.ofNanos(Math.max(0, nowNanos - atNanos));
    }
}
