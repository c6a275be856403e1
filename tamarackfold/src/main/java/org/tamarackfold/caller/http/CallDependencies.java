package org.tamarackfold.caller.http;

import java.util.random.RandomGenerator;
import org.tamarackfold.caller.limit.PermitRequester;
import org.tamarackfold.caller.quarantine.Quarantine;
import org.tamarackfold.endpoint.EndpointTable;
import org.tamarackfold.metrics.HostMetrics;
import org.tamarackfold.operator.ReleaseHolder;
import org.tamarackfold.peer.TurnHistory;
import org.tamarackfold.peer.release.RevocationGuard;
import org.tamarackfold.transport.PooledHttpClient;

/**
 * The dependencies that all calls of an entry host share.
 *
 * @param headerNames the names of the headers that carry call metadata
 * @param releases holds the current release
 * @param revocationGuard refuses calls that need a key while the release may be outdated
 * @param endpoints the registered endpoints, from which one is selected for each call
 * @param paths the ways from this host to endpoints
 * @param client the HTTP client for requests to endpoints
 * @param history the token budgets and turn histories of programs
 * @param permits the permits for calls of customers with limits
 * @param quarantine keeps requests that crash endpoints away from them
 * @param requestMemory bounds the bytes of request bodies that are kept
 * @param responseMemory bounds the bytes of responses that are kept
 * @param metrics the metrics of this process
 * @param random the source of the jitter of retry delays and of the weighted selection of services
 */
public record CallDependencies(
        CallHeaderNames headerNames,
        ReleaseHolder releases,
        RevocationGuard revocationGuard,
        EndpointTable endpoints,
        EndpointPaths paths,
        PooledHttpClient client,
        TurnHistory history,
        PermitRequester permits,
        Quarantine quarantine,
        MessageMemory requestMemory,
        MessageMemory responseMemory,
        HostMetrics metrics,
        RandomGenerator random) {}
