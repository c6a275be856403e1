package org.tamarackfold.caller.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.caller.AttemptOutcome;
import org.tamarackfold.peer.ForwardReply;
import org.tamarackfold.peer.ForwardedCall;
import org.tamarackfold.standin.http.ScriptedEndpoint;
import org.tamarackfold.standin.http.ScriptedEndpoint.Step;
import org.testng.annotations.Test;

/** Responses that do not come from an endpoint, because they lack its signature. */
public final class UnsignedResponsesTest {
    private UnsignedResponsesTest() {}

    private static final String STARTING =
            ScriptedEndpoint.completeResponse(
                    "200 OK", "Content-Type: text/plain", "Service is starting.");

    private static String echoing(String callId) {
        return ScriptedEndpoint.completeResponse("200 OK", "Call-Id: " + callId, "unsigned");
    }

    /** Successes without a signature in place of the response to a call. */
    public static final class Successes extends CallFixture {
        private void assertUnknownOutcome(String route) throws IOException {
            String response = entry.call(route, "c1", "", "");
            assertTrue(response.startsWith("HTTP/1.1 502"), response);
        }

        /** Guards against a call taken for done because of bytes that no endpoint has sent. */
        @Test
        public void foreignSuccessOnANewConnectionIsNotRelayed() throws IOException {
            scriptAllEndpoints(new Step.Send(STARTING));
            assertUnknownOutcome("unsafe");
            assertEquals(entry.receivedCount(), 1);
        }

        /** Guards against an unsigned success that passes because it names the call. */
        @Test
        public void successWithTheCallIdOnlyIsNotRelayed() throws IOException {
            scriptAllEndpoints(new Step.Send(echoing("c1")));
            assertUnknownOutcome("unsafe");
        }

        /** Guards against an empty signature that is taken for one. */
        @Test
        public void emptySignatureIsNone() throws IOException {
            scriptAllEndpoints("200 OK", "Call-Id: c1\r\nAnswer-Signature:", "unsigned");
            assertUnknownOutcome("unsafe");
        }

        /** Guards against an unsigned stream that is relayed as the output of a turn. */
        @Test
        public void unsignedStreamIsNotRelayed() throws IOException {
            scriptAllEndpoints(
                    new Step.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"),
                    chunk(event(1)),
                    LAST_CHUNK);
            assertUnknownOutcome("stream");
        }

        /** Guards against an unsigned body whose end is the close of its connection. */
        @Test
        public void unsignedBodyWithoutLengthIsNotRelayed() throws IOException {
            scriptAllEndpoints(new Step.Send("HTTP/1.1 200 OK\r\n\r\nstarting"), new Step.Close());
            assertUnknownOutcome("unsafe");
        }

        /** Guards against failing a call that another endpoint can still answer. */
        @Test
        public void safeCallIsSentToAnotherEndpoint() throws IOException {
            entry.endpoints.forEach(
                    endpoint ->
                            endpoint.respond(new Step.Send(STARTING))
                                    .respond("200 OK", SIGNATURE, "unused"));
            String response = entry.call("safe", "c1", "", "");
            assertFalse(response.contains("starting"), response);
            assertEquals(entry.receivedCount(), 2);
        }
    }

    /** Successes without a signature on a connection that an earlier call has used. */
    public static final class KeptConnections extends EndpointFaultsTest.SingleEndpoint {
        /** Guards against an unsigned success that passes because it names the call. */
        @Test
        public void successWithTheCallIdOnlyIsNotRelayed() throws IOException {
            makeFirstCall(
                    new Step.Send(
                            ScriptedEndpoint.completeResponse(
                                    "200 OK", SIGNATURE + "\r\nCall-Id: c1", "one")));
            entry.endpoint().respond(new Step.Send(echoing("c2")));
            String response = entry.call("unsafe", "c2", "", "");
            assertTrue(response.startsWith("HTTP/1.1 502"), response);
        }
    }

    /** Failures that carry neither the id of the call nor a signature. */
    public static final class Failures extends CallFixture {
        /** Guards against a caller that gives up because of a 404 that no endpoint has sent. */
        @Test
        public void foreignFailureIsNotRelayed() throws IOException {
            scriptAllEndpoints("404 Not Found", "Content-Type: text/plain", "no such page");
            String response = entry.call("unsafe", "c1", "", "");
            assertTrue(response.startsWith("HTTP/1.1 502"), response);
        }

        /** Guards against hiding the failure of an endpoint from its caller. */
        @Test
        public void failureOfAnEndpointIsRelayed() throws IOException {
            scriptAllEndpoints("500 Failed", "Call-Id: c1", "failed");
            String response = entry.call("unsafe", "c1", "", "");
            assertTrue(response.startsWith("HTTP/1.1 500"), response);
        }
    }

    /** Calls that another host forwards. */
    public static final class ForwardedCalls extends ForwardFixture {
        /** Guards against an unsigned success that passes through a forwarding host. */
        @Test
        public void forwardingHostReportsAnUnknownOutcome() throws IOException {
            endpoint.respond(new Step.Send(STARTING));
            assertTrue(forward(call("c1").build()).last() instanceof ForwardReply.Unknown);
        }

        /** Guards against a forwarding host of an earlier build, which checks no signature. */
        @Test
        public void successFromAnEarlierBuildIsNotRelayed() throws Exception {
            AttemptOutcome outcome = forwardThroughEarlierBuild(Vector.empty()).get();
            assertEquals(outcome, new AttemptOutcome.Unknown());
        }

        /** Guards against failing the responses that a host of an earlier build forwards. */
        @Test
        public void signedSuccessFromAnEarlierBuildIsRelayed() throws Exception {
            Seq<ForwardedCall.Header> signed =
                    Vector.of(new ForwardedCall.Header("Answer-Signature", "sig"));
            assertEquals(
                    forwardThroughEarlierBuild(signed).get(), new AttemptOutcome.Answered(200));
        }

        private CompletableFuture<AttemptOutcome> forwardThroughEarlierBuild(
                Seq<ForwardedCall.Header> headers) throws IOException {
            return attemptThroughHost(
                    REPLY_HEAD,
                    reply(new ForwardReply.Accepted()),
                    reply(new ForwardReply.Head(200, headers)),
                    new Step.Send("Service is starting."),
                    new Step.Close());
        }
    }
}
