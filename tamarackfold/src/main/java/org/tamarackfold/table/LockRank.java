package org.tamarackfold.table;

/**
 * Ranks of the locks of the shared tables, in the order in which a thread may acquire them. The
 * fixed order prevents deadlocks.
 */
public enum LockRank {
    RELEASE,
    HOSTS,
    CHANGES,
    LAYOUT,
    REACHABILITY,
    CUSTOMERS,
    QUARANTINE,
    LOADS,
    ENDPOINTS,
    SHARDS,
    PEER_QUEUES,
    FORWARDING
}
