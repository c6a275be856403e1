package org.tamarackfold.node;

import org.tamarackfold.caller.CallRequest;
import org.tamarackfold.caller.ProgramHeader;
import org.tamarackfold.endpoint.EndpointEvent;
import org.tamarackfold.id.ExchangeId;
import org.tamarackfold.id.MemberId;
import org.tamarackfold.id.TenantId;
import org.tamarackfold.operator.Release;
import org.tamarackfold.peer.PeerMessage;

/** Something that happened to a node. */
public sealed interface Event {
    /**
     * A caller opens a program.
     *
     * @param exchange correlates the reply
     * @param tenant the tenant
     * @param budgetTokens the budget asked for, in tokens; 0 for the tenant's default
     */
    record ProgramOpened(ExchangeId exchange, TenantId tenant, long budgetTokens)
            implements Event {}

    /**
     * A caller makes a call.
     *
     * @param exchange correlates the reply
     * @param request the call
     */
    record CallReceived(ExchangeId exchange, CallRequest request) implements Event {}

    /**
     * A caller ends a program.
     *
     * @param exchange correlates the reply
     * @param header the program
     */
    record ProgramEnded(ExchangeId exchange, ProgramHeader header) implements Event {}

    /**
     * A message from another node has arrived.
     *
     * @param sender the other node
     * @param message the message
     */
    record PeerMessageReceived(MemberId sender, PeerMessage message) implements Event {}

    /**
     * An endpoint has answered.
     *
     * @param result the result
     */
    record EndpointAnswered(EndpointEvent result) implements Event {}

    /**
     * A timer has expired.
     *
     * @param timer the timer
     */
    record TimerExpired(Timer timer) implements Event {}

    /**
     * A release was read from the key-value service.
     *
     * @param release the release
     */
    record ReleaseRead(Release release) implements Event {}
}
