package org.tamarackfold.node;

import java.time.Duration;
import org.tamarackfold.caller.CallReply;
import org.tamarackfold.endpoint.DispatchOrder;
import org.tamarackfold.id.DispatchId;
import org.tamarackfold.id.ExchangeId;
import org.tamarackfold.id.HostId;
import org.tamarackfold.id.ProgramId;
import org.tamarackfold.operator.EndpointDefinition;
import org.tamarackfold.peer.PeerMessage;

/** Something that a node has decided and its front end carries out. */
public sealed interface Action {
    /**
     * Replies to a caller.
     *
     * @param exchange the exchange
     * @param reply the reply
     */
    record Reply(ExchangeId exchange, CallReply reply) implements Action {}

    /**
     * Sends a message to another node.
     *
     * @param host the host
     * @param message the message
     */
    record Send(HostId host, PeerMessage message) implements Action {}

    /**
     * Sends an order to an endpoint.
     *
     * @param order the order
     */
    record Dispatch(DispatchOrder order) implements Action {}

    /**
     * Cancels an order at an endpoint.
     *
     * @param endpoint the endpoint
     * @param dispatch the order
     */
    record Cancel(EndpointDefinition endpoint, DispatchId dispatch) implements Action {}

    /**
     * Asks an endpoint to free the memory held for a program.
     *
     * @param endpoint the endpoint
     * @param program the program
     */
    record ReleaseMemory(EndpointDefinition endpoint, ProgramId program) implements Action {}

    /**
     * Starts a timer.
     *
     * @param timer the timer
     * @param delay when it expires
     */
    record StartTimer(Timer timer, Duration delay) implements Action {}
}
