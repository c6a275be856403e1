package org.tamarackfold.caller.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import java.io.IOException;
import org.tamarackfold.caller.LocalResponse;
import org.tamarackfold.operator.CallerLimits;

/** Responses to requests whose body cannot be read. */
final class BodyFailure {
    private BodyFailure() {}

    static LocalResponse response(
            HttpServerExchange exchange, CallerLimits limits, IOException error) {
        boolean tooLarge =
                error instanceof RequestTooBigException
                        || exchange.getRequestContentLength() > limits.bodyBytes();
        return tooLarge
                ? new LocalResponse.TooLarge()
                : new LocalResponse.Malformed("body: " + error.getMessage());
    }
}
