/** Thrift encoding of the messages and records of hosts. */
package org.tamarackfold.peer.thrift;
