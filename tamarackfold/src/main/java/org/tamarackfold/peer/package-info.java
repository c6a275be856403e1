/**
 * Communication with the other hosts of the system: the durable state of programs on storage hosts,
 * its replication, the layout of the shards, and the requests between hosts.
 */
package org.tamarackfold.peer;
