/**
 * Other hosts of the system: the durable program state on storage hosts, its replication, and the
 * messages between hosts.
 */
package org.tamarackfold.peer;
