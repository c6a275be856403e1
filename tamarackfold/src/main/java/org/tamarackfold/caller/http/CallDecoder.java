package org.tamarackfold.caller.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.time.Duration;
import org.tamarackfold.caller.CallDescription;
import org.tamarackfold.caller.ProgramTurn;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.ProgramId;
import org.tamarackfold.id.SessionId;

/** Decodes the head of a call. */
final class CallDecoder {
    private final CallHeaders names;

    CallDecoder(CallHeaders names) {
        this.names = names;
    }

    /** Returns the call, or the reason why its head is malformed. */
    Either<String, CallDescription> decode(HttpServerExchange exchange) {
        HeaderMap headers = exchange.getRequestHeaders();
        Option<String> framing = framingError(headers);
        if (framing.isDefined()) {
            return Either.left(framing.get());
        }
        return Try.of(() -> describe(exchange, headers))
                .toEither()
                .mapLeft(error -> String.valueOf(error.getMessage()));
    }

    private CallDescription describe(HttpServerExchange exchange, HeaderMap headers) {
        String id = headers.getFirst(names.callId());
        if (id == null) {
            throw new IllegalArgumentException("call id is missing");
        }
        return CallDescription.builder()
                .id(new CallId(id))
                .method(exchange.getRequestMethod().toString())
                .host(exchange.getHostName())
                .path(exchange.getRequestURI())
                .deadline(millis(headers, names.deadline()))
                .session(text(headers, names.session()).map(SessionId::new))
                .turn(turn(headers))
                .affinity(affinity(headers))
                .build();
    }

    private Option<ProgramTurn> turn(HeaderMap headers) {
        Option<String> budget = text(headers, names.tokenBudget());
        Option<String> program = text(headers, names.program());
        if (budget.isEmpty() || program.isEmpty()) {
            return Option.none();
        }
        return Option.some(
                new ProgramTurn(
                        new ProgramId(program.get()),
                        text(headers, names.parentTurn()).map(CallId::new),
                        Long.parseLong(budget.get().trim()),
                        outputTokens(headers)));
    }

    private long outputTokens(HeaderMap headers) {
        return text(headers, names.tokenUsage())
                .map(usage -> usage.substring(usage.indexOf(',') + 1).trim())
                .map(Long::parseLong)
                .getOrElse(0L);
    }

    /** The last prompt part belongs to the conversation; the first ones are shared. */
    private Option<String> affinity(HeaderMap headers) {
        return text(headers, names.affinity())
                .orElse(() -> text(headers, names.promptParts()).map(CallDecoder::firstPart));
    }

    private static String firstPart(String parts) {
        int comma = parts.indexOf(',');
        return comma < 0 ? parts : parts.substring(0, comma);
    }

    private static Option<Duration> millis(HeaderMap headers, HttpString name) {
        return text(headers, name).map(v -> Duration.ofMillis(Long.parseLong(v.trim())));
    }

    private static Option<String> text(HeaderMap headers, HttpString name) {
        return Option.of(headers.getFirst(name)).filter(value -> !value.isEmpty());
    }

    /** Detects request heads whose length is ambiguous, which would allow request smuggling. */
    private static Option<String> framingError(HeaderMap headers) {
        HeaderValues lengths = headers.get(Headers.CONTENT_LENGTH);
        HeaderValues codings = headers.get(Headers.TRANSFER_ENCODING);
        if (lengths != null && codings != null) {
            return Option.some("both a length and a transfer coding are given");
        }
        if (lengths != null && lengths.size() > 1) {
            return Option.some("more than one length is given");
        }
        if (codings != null
                && (codings.size() > 1 || !"chunked".equalsIgnoreCase(codings.getFirst().trim()))) {
            return Option.some("the transfer coding is not chunked");
        }
        if (lengths != null && !lengths.getFirst().chars().allMatch(Character::isDigit)) {
            return Option.some("the length is not a number");
        }
        return Option.none();
    }
}
