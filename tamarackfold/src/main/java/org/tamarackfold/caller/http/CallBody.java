package org.tamarackfold.caller.http;

import io.undertow.server.HttpServerExchange;
import io.vavr.control.Option;
import java.util.function.Consumer;
import org.tamarackfold.caller.LocalResponse;
import org.tamarackfold.caller.RetryDelays;
import org.tamarackfold.transport.RequestBody;
import org.tamarackfold.transport.RequestInput;

/** Receives the body of a call, or ends the call if there is none. */
final class CallBody implements RequestBody.Receiver {
    private final RetryDelays retryDelays;
    private final MessageMemory.Account account;
    private final HttpServerExchange exchange;
    private final Consumer<byte[]> onReceived;
    private final Consumer<LocalResponse> end;
    private Option<RequestBody> receiving = Option.none();

    /**
     * Creates a receiver.
     *
     * @param dependencies with the bound of the bodies that are kept
     * @param onReceived called with the whole body
     * @param end answers the call whose body is not received
     */
    CallBody(
            CallDependencies dependencies,
            HttpServerExchange exchange,
            Consumer<byte[]> onReceived,
            Consumer<LocalResponse> end) {
        this.retryDelays = new RetryDelays(dependencies.random());
        this.account = dependencies.requestMemory().open();
        this.exchange = exchange;
        this.onReceived = onReceived;
        this.end = end;
    }

    /** Receives a body of at most so many bytes. */
    void receive(long maximumBytes) {
        receiving = Option.some(RequestBody.receive(exchange, maximumBytes, this));
    }

    /** Returns whether the call waits for its body. */
    boolean isMissing() {
        return receiving.exists(body -> !body.hasEnded());
    }

    /** Reads no more of a body that is missing, and gives the memory of the body back. */
    void release() {
        receiving.forEach(RequestBody::cancel);
        account.close();
    }

    @Override
    public boolean mayKeep(long bytes) {
        return account.resize(bytes);
    }

    @Override
    public void onBody(byte[] body) {
        onReceived.accept(body);
    }

    @Override
    public void onFailure(RequestBody.Failure failure) {
        RequestInput.of(exchange).discardRest();
        end.accept(response(failure));
    }

    private LocalResponse response(RequestBody.Failure failure) {
        return switch (failure) {
            case RequestBody.Failure.TooLarge() -> new LocalResponse.TooLarge();
            case RequestBody.Failure.NoMemory() ->
                    new LocalResponse.Refused(
                            retryDelays.standard(), "the host keeps as many bodies as it can");
            case RequestBody.Failure.Malformed(String reason) ->
                    new LocalResponse.Malformed("body: " + reason);
            case RequestBody.Failure.Stopped() -> new LocalResponse.BodyMissing();
            case RequestBody.Failure.ConnectionLost(String reason) ->
                    new LocalResponse.Malformed("body: " + reason);
        };
    }
}
