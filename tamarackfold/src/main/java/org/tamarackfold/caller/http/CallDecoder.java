package org.tamarackfold.caller.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.time.Duration;
import org.tamarackfold.caller.CallDescription;
import org.tamarackfold.caller.ProgramTurn;
import org.tamarackfold.caller.Resumption;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.ProgramId;
import org.tamarackfold.id.SessionId;
import org.tamarackfold.transport.RequestInput;

/** Decodes the metadata of a call from the head of its request. */
final class CallDecoder {
    /** Numbers beyond it are no counts of tokens or times of programs in milliseconds. */
    private static final long MAXIMUM_HINT = 1_000_000_000_000L;

    private final CallHeaderNames headerNames;

    CallDecoder(CallHeaderNames headerNames) {
        this.headerNames = headerNames;
    }

    /** Returns the metadata, or on the left the reason why the head is malformed. */
    Either<String, CallDescription> decode(HttpServerExchange exchange) {
        HeaderMap headers = exchange.getRequestHeaders();
        return Try.of(() -> describe(exchange, headers))
                .toEither()
                .mapLeft(error -> String.valueOf(error.getMessage()));
    }

    private CallDescription describe(HttpServerExchange exchange, HeaderMap headers) {
        String id = headers.getFirst(headerNames.callId());
        if (id == null) {
            throw new IllegalArgumentException("the call id header is missing");
        }
        return CallDescription.builder()
                .id(new CallId(id))
                .method(exchange.getRequestMethod().toString())
                .host(exchange.getHostName())
                .path(RequestInput.of(exchange).target().path())
                .timeout(millis(headers, headerNames.deadline()))
                .session(headerValue(headers, headerNames.session()).map(SessionId::new))
                .turn(turn(headers))
                .affinityKey(affinityKey(headers))
                .resumption(resumption(headers))
                .promptTokens(hint(headers, headerNames.tokenUsage()))
                .lengthHint(hint(headers, headerNames.lengthHint()))
                .programDeadline(
                        hint(headers, headerNames.programDeadline()).map(Duration::ofMillis))
                .build();
    }

    private Option<ProgramTurn> turn(HeaderMap headers) {
        Option<String> budget = headerValue(headers, headerNames.tokenBudget());
        Option<String> program = headerValue(headers, headerNames.program());
        if (budget.isEmpty() || program.isEmpty()) {
            return Option.none();
        }
        return Option.some(
                new ProgramTurn(
                        new ProgramId(program.get()),
                        headerValue(headers, headerNames.parentTurn()).map(CallId::new),
                        Long.parseLong(budget.get().trim()),
                        maximumOutputTokens(headers)));
    }

    /**
     * Reads the second number of the token usage header, or 0 without the header. The first number
     * is the prompt tokens.
     */
    private long maximumOutputTokens(HeaderMap headers) {
        return headerValue(headers, headerNames.tokenUsage())
                .map(usage -> usage.substring(usage.indexOf(',') + 1).trim())
                .map(Long::parseLong)
                .getOrElse(0L);
    }

    /**
     * Returns the affinity key, or else the first prompt part: the first parts are shared by many
     * calls, the last one belongs to the conversation.
     */
    private Option<String> affinityKey(HeaderMap headers) {
        return headerValue(headers, headerNames.affinityKey())
                .orElse(
                        () ->
                                headerValue(headers, headerNames.promptParts())
                                        .map(CallDecoder::firstPart));
    }

    private Option<Resumption> resumption(HeaderMap headers) {
        Option<CallId> firstCall = headerValue(headers, headerNames.resumes()).map(CallId::new);
        boolean resumes =
                firstCall.isDefined()
                        || headerValue(headers, headerNames.lastEventId()).isDefined();
        return resumes ? Option.some(new Resumption(firstCall)) : Option.none();
    }

    private static String firstPart(String parts) {
        int comma = parts.indexOf(',');
        return comma < 0 ? parts : parts.substring(0, comma);
    }

    private static Option<Duration> millis(HeaderMap headers, HttpString name) {
        return headerValue(headers, name)
                .map(value -> Duration.ofMillis(Long.parseLong(value.trim())));
    }

    /**
     * Returns the first number of a header that only helps to place the call; none without a
     * number, which is no reason to refuse the call.
     */
    private static Option<Long> hint(HeaderMap headers, HttpString name) {
        return headerValue(headers, name)
                .map(CallDecoder::firstPart)
                .flatMap(value -> Try.of(() -> Long.parseLong(value.trim())).toOption())
                .filter(value -> Math.abs(value) <= MAXIMUM_HINT);
    }

    private static Option<String> headerValue(HeaderMap headers, HttpString name) {
        return Option.of(headers.getFirst(name)).filter(value -> !value.isEmpty());
    }
}
