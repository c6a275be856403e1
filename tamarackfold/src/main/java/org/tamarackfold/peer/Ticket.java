package org.tamarackfold.peer;

import org.tamarackfold.id.DispatchId;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.MemberId;

/**
 * Identifies a request for a slot of an endpoint.
 *
 * @param primary the node that asks
 * @param dispatch the dispatch on that node
 * @param endpoint the endpoint
 */
public record Ticket(MemberId primary, DispatchId dispatch, EndpointId endpoint) {}
