/**
 * HTTP transport shared by all peers: the worker pool, the client with its connection pools and the
 * response writer. Contains no decisions about calls.
 */
package org.tamarackfold.transport;
