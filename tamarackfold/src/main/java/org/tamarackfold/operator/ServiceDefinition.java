package org.tamarackfold.operator;

import org.tamarackfold.id.ServiceName;

/**
 * A service of the release.
 *
 * @param name the name
 * @param healthPath the path that answers whether an endpoint is healthy
 * @param maximumConnections the connections that one endpoint accepts from all callers together
 * @param tokensPerEvent the tokens that one event of a stream stands for; 0 for plain services
 * @param slots the calls that one endpoint runs at once; 0 when the release does not say
 */
public record ServiceDefinition(
        ServiceName name,
        String healthPath,
        int maximumConnections,
        int tokensPerEvent,
        int slots) {}
