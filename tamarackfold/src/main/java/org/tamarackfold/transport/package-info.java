/**
 * HTTP plumbing shared by all peers: the worker pool, the pooled client and the response writer. It
 * takes no decision on a call.
 */
package org.tamarackfold.transport;
