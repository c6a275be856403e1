/**
 * HTTP front end for callers: decodes calls, runs them at endpoints and relays the responses. A
 * call to an endpoint that this host does not reach is sent by another entry host.
 */
package org.tamarackfold.caller.http;
