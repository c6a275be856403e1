package org.tamarackfold.peer;

import org.tamarackfold.id.HostId;

/** Keys under which hosts share state through the key-value service. */
public final class SharedKeys {
    /** Prefix of all keys of the system. */
    public static final String ROOT = "tamarackfold/";

    /** The layout of the shards. */
    public static final String LAYOUT = ROOT + "layout";

    /** Prefix of the registrations of storage hosts. */
    public static final String STORAGE_HOSTS = ROOT + "storage/";

    /** Prefix of the registrations of entry hosts. */
    public static final String ENTRY_HOSTS = ROOT + "entry/";

    private SharedKeys() {}

    /** Returns the key of a storage host. */
    public static String storageHost(HostId host) {
        return STORAGE_HOSTS + host;
    }

    /** Returns the key of an entry host. */
    public static String entryHost(HostId host) {
        return ENTRY_HOSTS + host;
    }
}
