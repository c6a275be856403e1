/** Thrift encoding of the messages between hosts, of stored records and of shared state. */
package org.tamarackfold.peer.thrift;
