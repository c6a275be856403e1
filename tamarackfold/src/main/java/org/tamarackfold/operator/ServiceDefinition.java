package org.tamarackfold.operator;

import org.tamarackfold.id.ServiceName;

/**
 * Definition of a service in a release.
 *
 * @param healthPath the path of the health check of its endpoints
 * @param maximumConnections the maximum number of connections that one endpoint accepts from all
 *     its clients together
 * @param tokensPerEvent the tokens that one event of a stream counts as; 0 for services that
 *     generate no tokens
 * @param slots the number of calls that one endpoint can run concurrently; 0 when not stated
 */
public record ServiceDefinition(
        ServiceName name,
        String healthPath,
        int maximumConnections,
        int tokensPerEvent,
        int slots) {}
