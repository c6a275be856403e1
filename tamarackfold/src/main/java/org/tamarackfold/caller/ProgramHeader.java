package org.tamarackfold.caller;

import java.time.Instant;
import org.tamarackfold.id.Generation;
import org.tamarackfold.id.ProgramId;
import org.tamarackfold.id.TenantId;

/**
 * The facts of a program that a token certifies.
 *
 * @param program the program
 * @param tenant the tenant that opened it
 * @param generation the generation of the replica set
 * @param replicas the nodes that hold the program record
 * @param budgetTokens the most that all calls together may spend, in tokens
 * @param expires the end of the program's lifetime
 */
public record ProgramHeader(
        ProgramId program,
        TenantId tenant,
        Generation generation,
        ReplicaSet replicas,
        long budgetTokens,
        Instant expires) {

    /** Returns the header of the next generation with another replica set. */
    public ProgramHeader succeededBy(ReplicaSet next) {
        return new ProgramHeader(program, tenant, generation.next(), next, budgetTokens, expires);
    }
}
