package org.tamarackfold.table;

/** Order in which a thread may take the locks of the shared tables: ascending only. */
public enum LockRank {
    RELEASE,
    MEMBERS,
    LAYOUT,
    ENDPOINTS,
    SHARDS
}
