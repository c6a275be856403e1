package org.tamarackfold.caller;

import io.vavr.control.Option;
import org.tamarackfold.id.CallId;

/**
 * States that a call resumes an event stream after the last event that its caller has received.
 *
 * @param firstCall the call that brought the first event of the stream; none if the caller does not
 *     name it
 */
public record Resumption(Option<CallId> firstCall) {}
