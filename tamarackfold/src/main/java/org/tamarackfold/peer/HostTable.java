package org.tamarackfold.peer;

import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.tamarackfold.id.HostId;
import org.tamarackfold.table.LockRank;
import org.tamarackfold.table.TableLock;

/**
 * The hosts that are registered in the key-value service, and the storage hosts whose shards are to
 * be moved to other hosts, because an operator retires them or they are stopping. Thread-safe.
 */
public final class HostTable {
    private final TableLock lock = new TableLock(LockRank.HOSTS);
    private Map<String, StorageHost> storageHosts = HashMap.empty();
    private Map<String, EntryHost> entryHosts = HashMap.empty();

    /** The entry hosts ordered by name; none after a change until they are asked for. */
    private Option<Vector<EntryHost>> sortedEntryHosts = Option.none();

    private Set<HostId> draining = HashSet.empty();

    /** Adds or replaces the storage host that is registered under a key. */
    public void put(String key, StorageHost storageHost) {
        lock.run(() -> storageHosts = storageHosts.put(key, storageHost));
    }

    /** Adds or replaces the entry host that is registered under a key. */
    public void put(String key, EntryHost entryHost) {
        lock.run(() -> setEntryHosts(entryHosts.put(key, entryHost)));
    }

    /** Removes the host that is registered under a key, if any. */
    public void remove(String key) {
        lock.run(
                () -> {
                    storageHosts = storageHosts.remove(key);
                    setEntryHosts(entryHosts.remove(key));
                });
    }

    /** Removes all registered hosts before a new listing is applied; draining hosts stay marked. */
    public void clear() {
        lock.run(
                () -> {
                    storageHosts = HashMap.empty();
                    setEntryHosts(HashMap.empty());
                });
    }

    private void setEntryHosts(Map<String, EntryHost> changed) {
        entryHosts = changed;
        sortedEntryHosts = Option.none();
    }

    /** Sets whether the shards of a storage host are to be moved to other hosts. */
    public void setDraining(HostId host, boolean isDraining) {
        lock.run(() -> draining = isDraining ? draining.add(host) : draining.remove(host));
    }

    /** Returns the registered storage hosts. */
    public Set<StorageHost> storageHosts() {
        return lock.withLock(() -> HashSet.ofAll(storageHosts.values()));
    }

    /** Returns the registered entry hosts, ordered by name; the same instance until they change. */
    public Vector<EntryHost> entryHosts() {
        return lock.withLock(this::sortEntryHosts);
    }

    private Vector<EntryHost> sortEntryHosts() {
        if (sortedEntryHosts.isEmpty()) {
            Vector<EntryHost> sorted = Vector.ofAll(entryHosts.values()).sortBy(EntryHost::host);
            sortedEntryHosts = Option.some(sorted);
        }
        return sortedEntryHosts.get();
    }

    /** Returns the number of registered hosts. */
    public int size() {
        return lock.withLock(() -> storageHosts.size() + entryHosts.size());
    }

    /** Returns the storage hosts whose shards are to be moved to other hosts. */
    public Set<HostId> draining() {
        return lock.withLock(() -> draining);
    }
}
