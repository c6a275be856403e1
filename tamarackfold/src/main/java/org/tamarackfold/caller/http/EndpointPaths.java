package org.tamarackfold.caller.http;

import org.tamarackfold.endpoint.BreakTracer;
import org.tamarackfold.endpoint.ReachabilityMonitor;
import org.tamarackfold.peer.ForwardingHosts;

/**
 * The ways from this host to endpoints.
 *
 * @param reachability finds out which endpoints this host reaches itself
 * @param breaks finds out why connections broke
 * @param forwardingHosts selects the hosts that forward calls to the others
 */
public record EndpointPaths(
        ReachabilityMonitor reachability, BreakTracer breaks, ForwardingHosts forwardingHosts) {}
