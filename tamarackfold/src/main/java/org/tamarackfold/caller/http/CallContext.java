package org.tamarackfold.caller.http;

import java.util.random.RandomGenerator;
import org.tamarackfold.endpoint.EndpointTable;
import org.tamarackfold.metrics.NodeMetrics;
import org.tamarackfold.operator.ReleaseBook;
import org.tamarackfold.peer.TurnHistory;
import org.tamarackfold.transport.HttpClientPool;

/**
 * What all calls of an entry host share.
 *
 * @param headers the names of the headers
 * @param releases the release in force
 * @param endpoints the endpoints
 * @param client the client for endpoints
 * @param history the durable state of programs
 * @param metrics the metrics
 * @param random the source of randomness, for jitter and weights
 */
public record CallContext(
        CallHeaders headers,
        ReleaseBook releases,
        EndpointTable endpoints,
        HttpClientPool client,
        TurnHistory history,
        NodeMetrics metrics,
        RandomGenerator random) {}
