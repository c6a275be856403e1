package org.tamarackfold.caller.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vavr.collection.Vector;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.tamarackfold.caller.AttemptOutcome;
import org.tamarackfold.log.CapturedLog;
import org.tamarackfold.peer.ForwardReply;
import org.tamarackfold.peer.ForwardedCall;
import org.tamarackfold.standin.http.ScriptedEndpoint;
import org.tamarackfold.standin.http.ScriptedEndpoint.Step;
import org.tamarackfold.transport.ResponseForms;
import org.tamarackfold.transport.ResponseForms.Form;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Endpoints whose responses are outside of the grammar of HTTP, and sound ones close to it. */
public final class MalformedResponsesTest {
    private MalformedResponsesTest() {}

    private static final String INTERIM = "HTTP/1.1 102 Processing\r\n\r\n";
    private static final Form REPEATED_LENGTH =
            new Form(
                    "HTTP/1.1 200 OK\r\n{fields}Content-Length: 5\r\nContent-Length: 3\r\n\r\nhello");

    /** Longer than the timeout of a route: only a connection that is closed ends it early. */
    private static final Step OPEN = new Step.Pause(3_000);

    private static String response(Form form, String callId) {
        return form.with(CallFixture.SIGNATURE + "\r\nCall-Id: " + callId + "\r\n");
    }

    private static Step scripted(Form form, String callId) {
        return new Step.Send(response(form, callId));
    }

    /** Waits until the host has closed so many connections before their response had ended. */
    private static void awaitConnectionsClosed(ScriptedEndpoint endpoint, int count)
            throws InterruptedException {
        for (int i = 0; i < 400 && endpoint.connectionsClosedByClient() < count; i++) {
            Thread.sleep(5);
        }
        assertEquals(endpoint.connectionsClosedByClient(), count);
    }

    /** Calls that may run once only. */
    public static final class UnsafeCalls extends CallFixture {
        private void assertUnknownOutcome(String route, Step... steps) throws IOException {
            scriptAllEndpoints(steps);
            String response = entry.call(route, "c1", "", "");
            assertTrue(response.startsWith("HTTP/1.1 502"), response);
            assertFalse(response.contains("sig"), response);
            assertEquals(entry.receivedCount(), 1);
        }

        /** Guards against a malformed head that is relayed, waited for, or sent again. */
        @Test(dataProvider = "malformedHeads", dataProviderClass = ResponseForms.class)
        public void head(Form form) throws IOException {
            assertUnknownOutcome("unsafe", scripted(form, "c1"), OPEN);
        }

        /** Guards against a head that is checked only when it comes in one packet. */
        @Test(dataProvider = "malformedHeads", dataProviderClass = ResponseForms.class)
        public void headInTwoPackets(Form form) throws IOException {
            String response = response(form, "c1");
            int cut = response.length() / 2;
            assertUnknownOutcome(
                    "unsafe",
                    new Step.Send(response.substring(0, cut)),
                    new Step.Pause(2),
                    new Step.Send(response.substring(cut)),
                    OPEN);
        }

        /** Guards against a malformed head that passes because its connection ends after it. */
        @Test(dataProvider = "malformedHeads", dataProviderClass = ResponseForms.class)
        public void headBeforeAClose(Form form) throws IOException {
            assertUnknownOutcome("unsafe", scripted(form, "c1"), new Step.Close());
        }

        /** Guards against a final head that is not checked because an interim one precedes it. */
        @Test(dataProvider = "malformedHeads", dataProviderClass = ResponseForms.class)
        public void headAfterAnInterimHead(Form form) throws IOException {
            assertUnknownOutcome("unsafe", scripted(form.after(INTERIM), "c1"), OPEN);
        }

        /** Guards against an interim head that is skipped without a look at its fields. */
        @Test(dataProvider = "malformedInterimHeads", dataProviderClass = ResponseForms.class)
        public void interimHead(Form form) throws IOException {
            assertUnknownOutcome("unsafe", scripted(form, "c1"), OPEN);
        }

        /** Guards against chunks and trailers that end a body elsewhere than the endpoint did. */
        @Test(dataProvider = "malformedChunks", dataProviderClass = ResponseForms.class)
        public void chunks(Form form) throws IOException {
            assertUnknownOutcome("unsafe", scripted(form, "c1"), OPEN);
        }

        /** Guards against a stream that starts although its head is malformed. */
        @Test(dataProvider = "malformedFraming", dataProviderClass = ResponseForms.class)
        public void headOfAStream(Form form) throws IOException {
            assertUnknownOutcome("stream", scripted(form.replacing("hello", event(1)), "c1"), OPEN);
        }

        /** Guards against a body that ends in the middle of its trailers and counts as complete. */
        @Test
        public void trailersCutOff() throws IOException {
            String whole = "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n";
            for (String end : new String[] {"0\r\n", "0\r\nX-T: 1\r\n", "0\r\n\r", "0\r\nX-T"}) {
                assertUnknownOutcome(
                        "unsafe",
                        scripted(new Form(whole + "5\r\nhello\r\n" + end), "c1"),
                        new Step.Close());
                entry.close();
                start();
            }
        }
    }

    /** Streams whose framing is malformed after their first events. */
    public static final class Streams extends CallFixture {
        private static final Form HEAD =
                new Form("HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n");

        /** Guards against a stream that looks complete at malformed trailers. */
        @Test
        public void malformedTrailersAbortTheStream() throws IOException {
            for (String trailers :
                    new String[] {"no field\r\n", "X T: 1\r\n", "X: \u0001\r\n", "X: 1\n"}) {
                scriptAllEndpoints(
                        scripted(HEAD, "c1"),
                        chunk(event(1)),
                        new Step.Pause(20),
                        new Step.Send("0\r\n" + trailers + "\r\n"),
                        OPEN);
                String response = entry.call("stream", "c1", "", "");
                assertTrue(response.contains("word1"), response);
                assertFalse(response.endsWith("0\r\n\r\n"), response);
                entry.close();
                start();
            }
        }
    }

    /** Calls that may run again. */
    public static final class SafeCalls extends CallFixture {
        /** Guards against failing a call that another endpoint can still answer. */
        @Test
        public void callIsSentToAnotherEndpoint() throws IOException {
            for (String route : new String[] {"safe", "resumable"}) {
                ScriptedEndpoint faulty = entry.endpoint();
                ScriptedEndpoint sound = entry.endpoints.getLast();
                int calls = 0;
                while (faulty.received().isEmpty() && calls < 20) {
                    String id = "c" + calls++;
                    String body = event(1);
                    faulty.respond(scripted(REPEATED_LENGTH, id), OPEN);
                    sound.respond("200 OK", SIGNATURE + "\r\nCall-Id: " + id, body);
                    String response = entry.call(route, id, "", "");
                    assertTrue(response.startsWith("HTTP/1.1 200"), response);
                    assertTrue(response.contains("word1"), response);
                }
                assertEquals(faulty.received().size(), 1);
                assertEquals(sound.received().size(), calls);
                entry.close();
                start();
            }
        }
    }

    /** Connections on which a malformed response has come. */
    public static final class Connections extends EndpointFaultsTest.SingleEndpoint {
        private static final Form SOUND =
                new Form("HTTP/1.1 200 OK\r\n{fields}Content-Length: 3\r\n\r\none");

        private Step.Send sound(String callId) {
            return new Step.Send(response(SOUND, callId));
        }

        /** Guards against a malformed response that counts as one because others came before. */
        @Test(dataProvider = "malformedHeads", dataProviderClass = ResponseForms.class)
        public void reusedConnectionIsClosed(Form form) throws Exception {
            makeFirstCall(sound("c1"));
            entry.endpoint().respond(scripted(form, "c2"), OPEN).respond(sound("c3"));
            String response = entry.call("unsafe", "c2", "", "");
            assertTrue(response.startsWith("HTTP/1.1 502"), response);
            assertTrue(entry.call("unsafe", "c3", "", "").endsWith("one"));
            awaitConnectionsClosed(entry.endpoint(), 1);
        }

        /** Guards against a new connection that is kept after a malformed response. */
        @Test
        public void newConnectionIsClosed() throws Exception {
            entry.endpoint().respond(scripted(REPEATED_LENGTH, "c1"), OPEN).respond(sound("c2"));
            assertTrue(entry.call("unsafe", "c1", "", "").startsWith("HTTP/1.1 502"));
            assertTrue(entry.call("unsafe", "c2", "", "").endsWith("one"));
            awaitConnectionsClosed(entry.endpoint(), 1);
        }

        /** Guards against ending the connection of a caller whose endpoint is at fault. */
        @Test
        public void connectionOfTheCallerGoesOn() throws Exception {
            entry.endpoint().respond(scripted(REPEATED_LENGTH, "c1"), OPEN).respond(sound("c2"));
            try (Socket socket = entry.connect()) {
                socket.setSoTimeout(3_000);
                String first = exchange(socket, "c1");
                assertTrue(first.startsWith("HTTP/1.1 502"), first);
                assertFalse(first.contains("Connection: close"), first);
                String second = exchange(socket, "c2");
                assertTrue(second.startsWith("HTTP/1.1 200"), second);
                assertTrue(second.endsWith("one"), second);
            }
        }

        private static String exchange(Socket socket, String callId) throws IOException {
            String request = EntryFixture.request("unsafe", callId, "", "");
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = socket.getInputStream();
            StringBuilder received = new StringBuilder();
            while (received.indexOf("\r\n\r\n") < 0) {
                received.append((char) in.read());
            }
            String length = received.toString().split("(?i)content-length: ")[1].split("\r\n")[0];
            byte[] body = in.readNBytes(Integer.parseInt(length));
            return received + new String(body, StandardCharsets.ISO_8859_1);
        }

        /** Guards against a fault that an operator cannot find in the log and the metrics. */
        @Test
        public void faultIsLoggedAndCounted() throws IOException {
            entry.endpoint().respond(scripted(REPEATED_LENGTH, "c1"), OPEN);
            try (CapturedLog log = new CapturedLog()) {
                entry.call("unsafe", "c1", "", "");
                List<String> lines = log.linesOf("attempt_failed");
                assertEquals(lines.size(), 1);
                assertTrue(lines.getFirst().contains("call=c1"), lines.getFirst());
                assertTrue(lines.getFirst().contains("endpoint=engine-0"), lines.getFirst());
                assertTrue(lines.getFirst().contains("repeated Content-Length"), "" + lines);
            }
            String metrics = new String(entry.metrics.exposition(), StandardCharsets.UTF_8);
            String counter = "tamarackfold_malformed_responses_total{service=\"service\"} 1.0";
            assertTrue(metrics.contains(counter), metrics);
        }
    }

    /** What sound endpoints send. */
    public static final class SoundResponses extends EndpointFaultsTest.SingleEndpoint {
        /** Guards against failing sound responses, and against connections closed after them. */
        @Test(dataProvider = "soundResponses", dataProviderClass = ResponseForms.class)
        public void responseIsRelayed(Form form) throws IOException {
            for (String id : new String[] {"c1", "c2"}) {
                entry.endpoint().respond(scripted(form, id));
                String response = entry.call("unsafe", id, "", "");
                assertTrue(response.startsWith("HTTP/1.1 200"), response);
                assertTrue(response.endsWith("hello"), response);
            }
            assertEquals(entry.endpoint().connectionsClosedByClient(), 0);
        }

        /** Guards against cutting a response after which its endpoint closes. */
        @Test(dataProvider = "soundResponses", dataProviderClass = ResponseForms.class)
        public void responseBeforeACloseIsRelayed(Form form) throws IOException {
            entry.endpoint()
                    .respond(
                            scripted(
                                    form.replacing("{fields}", "{fields}Connection: close\r\n"),
                                    "c1"),
                            new Step.Close());
            String response = entry.call("unsafe", "c1", "", "");
            assertTrue(response.startsWith("HTTP/1.1 200"), response);
            assertTrue(response.endsWith("hello"), response);
        }

        /** Guards against losing a body whose end is the close of its connection. */
        @Test
        public void bodyWithoutLengthIsRelayed() throws IOException {
            for (String version : new String[] {"HTTP/1.0", "HTTP/1.1"}) {
                entry.endpoint()
                        .respond(
                                scripted(new Form(version + " 200 OK\r\n{fields}\r\nhello"), "c1"),
                                new Step.Close());
                String response = entry.call("unsafe", "c1", "", "");
                assertTrue(response.startsWith("HTTP/1.1 200"), response);
                assertTrue(response.endsWith("hello"), response);
            }
        }

        /** Heads that no body follows, with the method of their request and their status. */
        @DataProvider
        public static Object[][] headsWithoutBody() {
            return new Object[][] {
                {"POST", 204, ""},
                {"POST", 204, "Content-Length: 0\r\n"},
                {"POST", 304, ""},
                {"POST", 304, "Content-Length: 5\r\n"},
                {"POST", 304, "Transfer-Encoding: chunked\r\n"},
                {"HEAD", 200, ""},
                {"HEAD", 200, "Content-Length: 5\r\n"},
                {"HEAD", 200, "Transfer-Encoding: chunked\r\n"},
                {"HEAD", 404, "Content-Length: 5\r\n"},
            };
        }

        /** Guards against waiting for a body that does not follow. */
        @Test(dataProvider = "headsWithoutBody")
        public void headWithoutBodyIsRelayed(String method, int status, String fields)
                throws IOException {
            for (String id : new String[] {"c1", "c2"}) {
                entry.endpoint()
                        .respond(
                                scripted(
                                        new Form(
                                                "HTTP/1.1 "
                                                        + status
                                                        + " X\r\n{fields}"
                                                        + fields
                                                        + "\r\n"),
                                        id));
                String request = EntryFixture.request("unsafe", id, "Connection: close\r\n", "");
                String response = entry.sendRaw(request.replace("POST ", method + " "));
                assertTrue(response.startsWith("HTTP/1.1 " + status), response);
                assertTrue(response.endsWith("\r\n\r\n"), response);
            }
        }
    }

    /** Calls that a host forwards for another one. */
    public static final class ForwardedCalls extends ForwardFixture {
        /** Guards against forwarding a malformed head, or calling the call not run. */
        @Test(dataProvider = "malformedHeads", dataProviderClass = ResponseForms.class)
        public void outcomeIsUnknown(Form form) throws IOException {
            endpoint.respond(scripted(form, "c1"), OPEN);
            Result result = forward(call("c1").build());
            assertTrue(result.last() instanceof ForwardReply.Unknown, "" + result.last());
            assertEquals(endpoint.received().size(), 1);
        }

        /** Guards against a body that looks whole to the other host at malformed chunks. */
        @Test(dataProvider = "malformedChunks", dataProviderClass = ResponseForms.class)
        public void malformedChunksBreakTheConnectionOff(Form form) throws IOException {
            endpoint.respond(scripted(form, "c1"), OPEN);
            Result result = forward(call("c1").build());
            assertTrue(
                    result.last() instanceof ForwardReply.Unknown || !result.complete(),
                    "" + result);
        }

        /** Guards against failing sound responses. */
        @Test(dataProvider = "soundResponses", dataProviderClass = ResponseForms.class)
        public void soundResponseIsForwarded(Form form) throws IOException {
            endpoint.respond(scripted(form, "c1"));
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
