package org.tamarackfold.caller.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import org.tamarackfold.peer.ForwardedCall;
import org.tamarackfold.transport.DecodedHeadCheck;

/** Converts HTTP headers to and from those of the messages between entry hosts. */
final class ForwardedHeaders {
    private ForwardedHeaders() {}

    static Vector<ForwardedCall.Header> toList(HeaderMap headers) {
        List<ForwardedCall.Header> list = new ArrayList<>();
        headers.forEach(
                values ->
                        values.forEach(
                                value ->
                                        list.add(
                                                new ForwardedCall.Header(
                                                        values.getHeaderName().toString(),
                                                        value))));
        return Vector.ofAll(list);
    }

    /** Returns the value of the first header with a name. */
    static Option<String> value(Seq<ForwardedCall.Header> headers, HttpString name) {
        return headers.find(header -> header.name().equalsIgnoreCase(name.toString()))
                .map(ForwardedCall.Header::value);
    }

    /** Returns why the head of a response with these headers is malformed; none if it is not. */
    static Option<String> violation(int status, Seq<ForwardedCall.Header> headers) {
        DecodedHeadCheck check = DecodedHeadCheck.ofStatus(status);
        headers.forEach(header -> check.field(header.name(), header.value()));
        return check.violation();
    }

    static HeaderMap toMap(Seq<ForwardedCall.Header> headers) {
        HeaderMap map = new HeaderMap();
        headers.forEach(header -> map.add(new HttpString(header.name()), header.value()));
        return map;
    }
}
