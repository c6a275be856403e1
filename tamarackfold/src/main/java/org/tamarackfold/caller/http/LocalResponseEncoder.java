package org.tamarackfold.caller.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import org.tamarackfold.caller.CallerIdentity;
import org.tamarackfold.caller.LocalResponse;
import org.tamarackfold.id.RequestFingerprint;
import org.tamarackfold.transport.ResponseWriter;

/** Encodes local responses as HTTP responses with a JSON body. */
final class LocalResponseEncoder {
    private static final int PAYMENT_REQUIRED = 402;

    private LocalResponseEncoder() {}

    static void send(HttpServerExchange exchange, LocalResponse response) {
        exchange.setStatusCode(status(response));
        retryAfter(response)
                .forEach(
                        delay ->
                                exchange.getResponseHeaders()
                                        .put(Headers.RETRY_AFTER, seconds(delay)));
        if (response instanceof LocalResponse.Unauthorized) {
            exchange.getResponseHeaders().put(Headers.WWW_AUTHENTICATE, "Bearer");
        }
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        ResponseWriter.sendBody(exchange, body(response));
    }

    private static Option<Duration> retryAfter(LocalResponse response) {
        return switch (response) {
            case LocalResponse.Refused(Duration delay, String _) -> Option.some(delay);
            case LocalResponse.OverLimit(Duration delay, String _) -> Option.some(delay);
            case LocalResponse.Quarantined(Duration delay, RequestFingerprint _) ->
                    Option.some(delay);
            default -> Option.none();
        };
    }

    static int status(LocalResponse response) {
        return switch (response) {
            case LocalResponse.Refused(Duration _, String _) -> StatusCodes.SERVICE_UNAVAILABLE;
            case LocalResponse.OverLimit(Duration _, String _) -> StatusCodes.TOO_MANY_REQUESTS;
            case LocalResponse.Quarantined(Duration _, RequestFingerprint _) ->
                    StatusCodes.SERVICE_UNAVAILABLE;
            case LocalResponse.Unknown(String _) -> StatusCodes.BAD_GATEWAY;
            case LocalResponse.TimedOut() -> StatusCodes.GATEWAY_TIME_OUT;
            case LocalResponse.NoRoute() -> StatusCodes.NOT_FOUND;
            case LocalResponse.Unauthorized(CallerIdentity.Cause _) -> StatusCodes.UNAUTHORIZED;
            case LocalResponse.NoSuchTurn() -> StatusCodes.NOT_FOUND;
            case LocalResponse.BudgetSpent() -> PAYMENT_REQUIRED;
            case LocalResponse.Malformed(String _) -> StatusCodes.BAD_REQUEST;
            case LocalResponse.BodyMissing() -> StatusCodes.REQUEST_TIME_OUT;
            case LocalResponse.TooLarge() -> StatusCodes.REQUEST_ENTITY_TOO_LARGE;
        };
    }

    private static String seconds(Duration delay) {
        return String.format(Locale.ROOT, "%.3f", delay.toMillis() / 1000.0);
    }

    private static byte[] body(LocalResponse response) {
        return ("{\"error\":\"" + response.label() + "\"}\n").getBytes(StandardCharsets.US_ASCII);
    }
}
