package org.tamarackfold.endpoint;

import java.util.List;
import org.tamarackfold.caller.Turn;
import org.tamarackfold.id.CallKey;
import org.tamarackfold.id.DispatchId;
import org.tamarackfold.id.ProgramId;
import org.tamarackfold.operator.EndpointDefinition;

/**
 * Order to an endpoint to run a call.
 *
 * @param dispatch correlates the results
 * @param endpoint the endpoint
 * @param program the program
 * @param key the call
 * @param operation the operation; {@code chat} for model engines
 * @param turns the whole history for model engines; the new turns for others
 * @param maximumTokens the most that the call may generate, in tokens
 * @param priority greater runs first where the engine honours priorities
 */
public record DispatchOrder(
        DispatchId dispatch,
        EndpointDefinition endpoint,
        ProgramId program,
        CallKey key,
        String operation,
        List<Turn> turns,
        long maximumTokens,
        int priority) {}
