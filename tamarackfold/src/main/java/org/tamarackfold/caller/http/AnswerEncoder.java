package org.tamarackfold.caller.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import org.tamarackfold.caller.Answer;
import org.tamarackfold.transport.ResponseWriter;

/** Encodes the answers of the system's own. */
final class AnswerEncoder {
    private static final int PAYMENT_REQUIRED = 402;

    private AnswerEncoder() {}

    static void send(HttpServerExchange exchange, Answer answer) {
        exchange.setStatusCode(status(answer));
        if (answer instanceof Answer.Refused(Duration retryAfter, String _)) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, seconds(retryAfter));
        }
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        ResponseWriter.sendWhole(exchange, body(answer));
    }

    static int status(Answer answer) {
        return switch (answer) {
            case Answer.Refused(Duration _, String _) -> StatusCodes.SERVICE_UNAVAILABLE;
            case Answer.Unknown(String _) -> StatusCodes.BAD_GATEWAY;
            case Answer.TimedOut() -> StatusCodes.GATEWAY_TIME_OUT;
            case Answer.NoRoute() -> StatusCodes.NOT_FOUND;
            case Answer.NoSuchTurn() -> StatusCodes.NOT_FOUND;
            case Answer.BudgetSpent() -> PAYMENT_REQUIRED;
            case Answer.Malformed(String _) -> StatusCodes.BAD_REQUEST;
            case Answer.TooLarge() -> StatusCodes.REQUEST_ENTITY_TOO_LARGE;
        };
    }

    private static String seconds(Duration delay) {
        return String.format(Locale.ROOT, "%.3f", delay.toMillis() / 1000.0);
    }

    private static byte[] body(Answer answer) {
        return ("{\"error\":\"" + answer.label() + "\"}\n").getBytes(StandardCharsets.US_ASCII);
    }
}
