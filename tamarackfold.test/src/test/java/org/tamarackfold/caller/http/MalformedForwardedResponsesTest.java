package org.tamarackfold.caller.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.collection.Vector;
import java.io.IOException;
import org.tamarackfold.caller.AttemptOutcome;
import org.tamarackfold.peer.ForwardReply;
import org.tamarackfold.peer.ForwardedCall;
import org.tamarackfold.standin.http.ScriptedEndpoint.Step;
import org.tamarackfold.transport.ResponseForms;
import org.tamarackfold.transport.ResponseForms.Form;
import org.testng.annotations.Test;

/** Responses outside of the grammar of HTTP to calls that are sent through another entry host. */
public final class MalformedForwardedResponsesTest {
    private MalformedForwardedResponsesTest() {}

    /** Longer than a malformed response may take to be noticed. */
    private static final Step OPEN = new Step.Pause(3_000);

    private static Step scripted(Form form) {
        return new Step.Send(form.with(CallFixture.SIGNATURE + "\r\nCall-Id: c1\r\n"));
    }

    /** Calls that a host forwards for another one. */
    public static final class ForwardedCalls extends ForwardFixture {
        /** Guards against forwarding a malformed head, or calling the call not run. */
        @Test(dataProvider = "malformedHeads", dataProviderClass = ResponseForms.class)
        public void outcomeIsUnknown(Form form) throws IOException {
            endpoint.respond(scripted(form), OPEN);
            Result result = forward(call("c1").build());
            assertTrue(result.last() instanceof ForwardReply.Unknown, "" + result.last());
            assertEquals(endpoint.received().size(), 1);
        }

        /** Guards against a body that looks whole to the other host at malformed chunks. */
        @Test(dataProvider = "malformedChunks", dataProviderClass = ResponseForms.class)
        public void malformedChunksBreakTheConnectionOff(Form form) throws IOException {
            endpoint.respond(scripted(form), OPEN);
            Result result = forward(call("c1").build());
            assertTrue(
                    result.last() instanceof ForwardReply.Unknown || !result.complete(),
                    "" + result);
        }

        /** Guards against failing sound responses. */
        @Test(dataProvider = "soundResponses", dataProviderClass = ResponseForms.class)
        public void soundResponseIsForwarded(Form form) throws IOException {
            endpoint.respond(scripted(form));
            Result result = forward(call("c1").build());
            assertTrue(result.last() instanceof ForwardReply.Head, "" + result.last());
            assertEquals(result.body(), "hello");
            assertTrue(result.complete());
        }
    }

    /** What other hosts send about the calls that they forward. */
    public static final class RepliesOfForwardingHosts extends ForwardFixture {
        private static final String SIGNATURE = "Answer-Signature";

        private AttemptOutcome outcomeOf(int status, ForwardedCall.Header... headers)
                throws Exception {
            Vector<ForwardedCall.Header> all =
                    Vector.of(headers).prepend(new ForwardedCall.Header(SIGNATURE, "sig"));
            return attemptThroughHost(
                            REPLY_HEAD,
                            reply(new ForwardReply.Accepted()),
                            reply(new ForwardReply.Head(status, all)),
                            new Step.Send("hello"),
                            new Step.Close())
                    .get();
        }

        /** Fields that a forwarding host of an earlier build may pass on, or a broken one. */
        private static final String[][] MALFORMED_FIELDS = {
            {"Content-Length", "+5"},
            {"Content-Length", "5, 5"},
            {"Content-Length", ""},
            {"Transfer-Encoding", "gzip"},
            {"Transfer-Encoding", "chunked, chunked"},
            {"X Name", "1"},
            {"X-Na\u0001me", "1"},
            {"X:Name", "1"},
            {"", "1"},
            {"X-Name", "a\r\nX-Other: b"},
            {"X-Name", "a\u0000"},
            {"X-Name", "\u0100"},
        };

        /** Guards against a head that a host of an earlier build has taken for a sound one. */
        @Test
        public void malformedFieldIsNotRelayed() throws Exception {
            for (String[] field : MALFORMED_FIELDS) {
                AttemptOutcome outcome =
                        outcomeOf(200, new ForwardedCall.Header(field[0], field[1]));
                assertEquals(outcome, new AttemptOutcome.Unknown(), field[0] + ": " + field[1]);
            }
        }

        /** Guards against relaying one of two lengths. */
        @Test
        public void repeatedLengthIsNotRelayed() throws Exception {
            ForwardedCall.Header length = new ForwardedCall.Header("Content-Length", "5");
            assertEquals(outcomeOf(200, length, length), new AttemptOutcome.Unknown());
        }

        /** Guards against a status that no final response can have. */
        @Test
        public void statusOutOfRangeIsNotRelayed() throws Exception {
            for (int status : new int[] {-1, 0, 99, 102, 600, 999, 2_000}) {
                assertEquals(outcomeOf(status), new AttemptOutcome.Unknown(), "" + status);
            }
        }

        /** Guards against failing the heads that hosts of any build forward. */
        @Test
        public void soundHeadIsRelayed() throws Exception {
            assertEquals(
                    outcomeOf(
                            200,
                            new ForwardedCall.Header("content-length", "5"),
                            new ForwardedCall.Header("X-Empty", ""),
                            new ForwardedCall.Header("X-Text", "\u00e4 \t\"a:b\"")),
                    new AttemptOutcome.Answered(200));
            assertEquals(
                    outcomeOf(200, new ForwardedCall.Header("Transfer-Encoding", "Chunked")),
                    new AttemptOutcome.Answered(200));
            assertEquals(
                    outcomeOf(304, new ForwardedCall.Header("Content-Length", "5")),
                    new AttemptOutcome.Answered(304));
        }

        /** Guards against sending a call again because of what a malformed reply says. */
        @Test
        public void malformedReplyDoesNotSayThatTheCallWasNotSent() throws Exception {
            Step.Send notSent = (Step.Send) reply(new ForwardReply.NotSent("no connection"));
            int length = notSent.text().length();
            for (String lengths :
                    new String[] {"+" + length, length + "\r\nContent-Length: " + length}) {
                AttemptOutcome outcome =
                        attemptThroughHost(
                                        new Step.Send(
                                                "HTTP/1.1 200 OK\r\nContent-Length: "
                                                        + lengths
                                                        + "\r\n\r\n"),
                                        notSent,
                                        new Step.Close())
                                .get();
                assertEquals(outcome, new AttemptOutcome.Unknown(), lengths);
            }
        }
    }
}
