package org.tamarackfold.caller.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import org.tamarackfold.endpoint.EndpointRecord;
import org.tamarackfold.operator.Route;

/** Creates the relays that pass the responses of endpoints to the caller of one call. */
final class ResponseRelays {
    private static final int FIRST_ERROR_STATUS = 300;

    private final HttpServerExchange exchange;
    private final Route route;
    private final TurnState turnState;
    private final CallPlacement placement;
    private final MessageMemory responseMemory;

    ResponseRelays(
            HttpServerExchange exchange,
            Route route,
            TurnState turnState,
            CallPlacement placement,
            MessageMemory responseMemory) {
        this.exchange = exchange;
        this.route = route;
        this.turnState = turnState;
        this.placement = placement;
        this.responseMemory = responseMemory;
    }

    /** Creates the relay for the head of a response that an attempt has received. */
    ResponseRelay open(int status, HeaderMap headers, CurrentAttempt attempt) {
        PacedResponse response =
                new PacedResponse(
                        exchange, status, headers, responseMemory, attempt::setReadingPaused);
        if (!route.callSemantics().isStream() || status >= FIRST_ERROR_STATUS) {
            return new BufferedResponseRelay(response, headers);
        }
        long maximumEvents = turnState.maximumEvents(placement.tokensPerEvent(attempt.endpoint()));
        return new EventStreamRelay(response, turnState, maximumEvents);
    }

    /**
     * Returns the tokens of the events passed to the response writer; 0 for a response that is not
     * an event stream.
     */
    long deliveredTokens(ResponseRelay relay, EndpointRecord endpoint) {
        return relay instanceof EventStreamRelay eventStream
                ? eventStream.eventCount() * (long) placement.tokensPerEvent(endpoint)
                : 0;
    }
}
