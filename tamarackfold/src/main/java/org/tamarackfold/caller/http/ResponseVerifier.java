package org.tamarackfold.caller.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import io.vavr.control.Option;
import org.tamarackfold.id.CallId;

/**
 * Decides whether the head of a response comes from an endpoint and belongs to a call. Something
 * else may listen at the address of an endpoint, such as a process that is still starting, and an
 * endpoint may send a copy of an earlier response late.
 */
final class ResponseVerifier {
    /** Status with which an endpoint rejects a call that is meant for another one. */
    static final int MISDIRECTED_STATUS = 421;

    private final CallHeaderNames headerNames;

    ResponseVerifier(CallHeaderNames headerNames) {
        this.headerNames = headerNames;
    }

    /**
     * Returns why the response, also a rejection, does not belong to the call; none if it does.
     * Relayed, it would be the answer to another call, and taken for a rejection, it would let a
     * call that runs be sent again.
     *
     * @param reusedConnection whether earlier responses have come on the same connection
     */
    Option<String> mismatch(CallId call, int status, HeaderMap headers, boolean reusedConnection) {
        String echoedCallId = headers.getFirst(headerNames.callId());
        if (echoedCallId != null && !echoedCallId.equals(call.value())) {
            return Option.some("response carries the id of another call");
        }
        if (echoedCallId == null && reusedConnection) {
            return Option.some("response on a reused connection carries no call id");
        }
        boolean signed = hasValue(headers, headerNames.signature());
        if (isSuccess(status) && !signed) {
            return Option.some("success carries no signature of an endpoint");
        }
        return echoedCallId != null || signed || isRejection(status, headers)
                ? Option.none()
                : Option.some("response carries neither a call id nor a signature");
    }

    private boolean isRejection(int status, HeaderMap headers) {
        return status == MISDIRECTED_STATUS || headers.contains(headerNames.notRun());
    }

    private static boolean isSuccess(int status) {
        return status >= 200 && status < 300;
    }

    private static boolean hasValue(HeaderMap headers, HttpString name) {
        String value = headers.getFirst(name);
        return value != null && !value.isBlank();
    }
}
