package org.tamarackfold.peer;

import org.tamarackfold.id.HostId;

/** Keys of the state that hosts share through the key-value service. */
public final class SharedKeys {
    /** Prefix of all keys that the hosts write. */
    public static final String ROOT = "tamarackfold/";

    /** Key of the layout of the shards. */
    public static final String LAYOUT = ROOT + "layout";

    /** Prefix of the registrations of storage hosts. */
    public static final String STORAGE_HOSTS = ROOT + "storage/";

    /** Prefix of the registrations of entry hosts. */
    public static final String ENTRY_HOSTS = ROOT + "entry/";

    /** Prefix of the requests that were found to crash endpoints. */
    public static final String QUARANTINES = ROOT + "quarantine/";

    private SharedKeys() {}

    /** Returns the key under which a storage host is registered. */
    public static String storageHost(HostId host) {
        return STORAGE_HOSTS + host;
    }

    /** Returns the key under which an entry host is registered. */
    public static String entryHost(HostId host) {
        return ENTRY_HOSTS + host;
    }
}
