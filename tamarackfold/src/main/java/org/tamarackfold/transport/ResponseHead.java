package org.tamarackfold.transport;

import io.undertow.util.HeaderMap;

/**
 * Status line and headers of a response.
 *
 * @param status the HTTP status code, 200 or more
 * @param headers the headers
 * @param reusedConnection whether earlier responses have come on the same connection, so that this
 *     one may be a late copy of one of them
 */
public record ResponseHead(int status, HeaderMap headers, boolean reusedConnection) {}
