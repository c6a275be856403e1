package org.tamarackfold.caller;

import java.util.function.Consumer;
import org.tamarackfold.id.TenantId;

/**
 * Port through which a front end passes requests of callers to the node. Each consumer is called
 * exactly once.
 */
public interface CallerPort {
    /** Opens a program; a budget of 0 tokens stands for the tenant's default. */
    void open(TenantId tenant, long budgetTokens, Consumer<CallReply> reply);

    /** Makes a call. */
    void call(CallRequest request, Consumer<CallReply> reply);

    /** Ends a program. */
    void end(ProgramHeader header, Consumer<CallReply> reply);
}
