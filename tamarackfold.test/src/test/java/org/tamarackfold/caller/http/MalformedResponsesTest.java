package org.tamarackfold.caller.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.tamarackfold.log.CapturedLog;
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
    private static final Form FOLDED =
            new Form("HTTP/1.1 200 OK\r\n{fields}X: 1\r\n 2\r\nContent-Length: 5\r\n\r\nhello");

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

        /** Guards against a head that is checked only when its lines are whole. */
        @Test
        public void headByteByByte() throws IOException {
            for (Form form : new Form[] {REPEATED_LENGTH, FOLDED, REPEATED_LENGTH.after(INTERIM)}) {
                List<Step> steps = new ArrayList<>();
                for (char next : response(form, "c1").toCharArray()) {
                    steps.add(new Step.Send(String.valueOf(next)));
                    steps.add(new Step.Pause(1));
                }
                steps.add(OPEN);
                String response = callAnsweredInTime("unsafe", steps.toArray(Step[]::new));
                assertTrue(response.startsWith("HTTP/1.1 502"), response);
                entry.close();
                start();
            }
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
}
