/**
 * HTTP transport shared by all listeners and clients of a process: the I/O threads, the client with
 * its pools of idle connections, and the response writer. Contains no decisions about calls.
 */
package org.tamarackfold.transport;
