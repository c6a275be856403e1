package org.tamarackfold.operator;

import java.util.Set;
import org.tamarackfold.id.ServiceName;

/**
 * A service as the release defines it.
 *
 * @param name the service
 * @param kind the kind of its endpoints
 * @param model the model its engines serve; empty for other kinds
 * @param nonIdempotentOperations the operations that must not run twice
 */
public record ServiceDefinition(
        ServiceName name, ServiceKind kind, String model, Set<String> nonIdempotentOperations) {
    /** Copies the set. */
    public ServiceDefinition {
        nonIdempotentOperations = Set.copyOf(nonIdempotentOperations);
    }
}
