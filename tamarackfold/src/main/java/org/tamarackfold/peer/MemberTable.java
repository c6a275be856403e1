package org.tamarackfold.peer;

import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import org.tamarackfold.id.HostId;
import org.tamarackfold.table.LockRank;
import org.tamarackfold.table.TableLock;

/** The hosts that are registered in the key-value service, and those that are being emptied. */
public final class MemberTable {
    private final TableLock lock = new TableLock(LockRank.MEMBERS);
    private Map<String, Member> storageHosts = HashMap.empty();
    private Map<String, EntryHost> entryHosts = HashMap.empty();
    private Set<HostId> retiring = HashSet.empty();

    /** Adds or replaces the storage host under a key. */
    public void put(String key, Member member) {
        lock.run(() -> storageHosts = storageHosts.put(key, member));
    }

    /** Adds or replaces the entry host under a key. */
    public void put(String key, EntryHost entry) {
        lock.run(() -> entryHosts = entryHosts.put(key, entry));
    }

    /** Removes what is registered under a key. */
    public void remove(String key) {
        lock.run(
                () -> {
                    storageHosts = storageHosts.remove(key);
                    entryHosts = entryHosts.remove(key);
                });
    }

    /** Removes everything, before a new listing. */
    public void clear() {
        lock.run(
                () -> {
                    storageHosts = HashMap.empty();
                    entryHosts = HashMap.empty();
                });
    }

    /** Sets whether a storage host is being emptied. */
    public void setRetiring(HostId host, boolean value) {
        lock.run(() -> retiring = value ? retiring.add(host) : retiring.remove(host));
    }

    /** Returns the storage hosts. */
    public Set<Member> storageHosts() {
        return lock.locked(() -> HashSet.ofAll(storageHosts.values()));
    }

    /** Returns the entry hosts in the order of their names. */
    public Vector<EntryHost> entryHosts() {
        return lock.locked(() -> Vector.ofAll(entryHosts.values()).sortBy(EntryHost::host));
    }

    /** Returns the storage hosts that are being emptied. */
    public Set<HostId> retiring() {
        return lock.locked(() -> retiring);
    }
}
