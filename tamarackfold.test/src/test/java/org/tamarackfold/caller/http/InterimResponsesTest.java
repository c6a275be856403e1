package org.tamarackfold.caller.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.time.Duration;
import org.tamarackfold.peer.ForwardReply;
import org.tamarackfold.standin.http.ScriptedEndpoint;
import org.tamarackfold.standin.http.ScriptedEndpoint.Step;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Interim responses (status 1xx), which are not the response to a call. */
public final class InterimResponsesTest {
    private InterimResponsesTest() {}

    private static final String PROCESSING = "HTTP/1.1 102 Processing\r\nCall-Id: c1\r\n\r\n";
    private static final String EARLY_HINTS = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    private static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";

    private static String finalResponse(String callId) {
        return ScriptedEndpoint.completeResponse(
                "200 OK", CallFixture.SIGNATURE + "\r\nCall-Id: " + callId, "answer");
    }

    /** Interim heads, alone and in a row. */
    @DataProvider
    public static Object[][] interimHeads() {
        return new Object[][] {
            {PROCESSING},
            {EARLY_HINTS},
            {CONTINUE},
            {PROCESSING + CONTINUE + EARLY_HINTS + PROCESSING},
            {"HTTP/1.1 199 \r\n\r\n"},
        };
    }

    /** Interim responses that the final one follows. */
    public static final class BeforeTheFinalResponse extends EndpointFaultsTest.SingleEndpoint {
        private void assertAnswered(String route, Step... steps) throws IOException {
            entry.endpoint().respond(steps);
            String response = entry.call(route, "c1", "", "");
            assertTrue(response.startsWith("HTTP/1.1 200"), response);
            assertTrue(response.contains("Answer-Signature: sig"), response);
            assertTrue(response.endsWith("answer"), response);
        }

        /** Guards against losing the final response behind interim ones. */
        @Test(dataProvider = "interimHeads", dataProviderClass = InterimResponsesTest.class)
        public void finalResponseIsRelayed(String heads) throws IOException {
            assertAnswered("unsafe", new Step.Send(heads + finalResponse("c1")));
        }

        /** Guards against a final response that is lost when it comes in a later packet. */
        @Test(dataProvider = "interimHeads", dataProviderClass = InterimResponsesTest.class)
        public void laterFinalResponseIsRelayed(String heads) throws IOException {
            assertAnswered(
                    "safe",
                    new Step.Send(heads),
                    new Step.Pause(60),
                    new Step.Send(finalResponse("c1")));
        }

        /** Guards against heads that are told apart by a part of their first line. */
        @Test
        public void headsMayBeSplitAtAnyByte() throws IOException {
            String heads = PROCESSING + CONTINUE;
            String all = heads + finalResponse("c1");
            for (int cut = 1; cut < heads.length() + 20; cut++) {
                assertAnswered(
                        "unsafe",
                        new Step.Send(all.substring(0, cut)),
                        new Step.Pause(2),
                        new Step.Send(all.substring(cut)));
            }
        }

        /** Guards against a stream that is held back or lost behind an interim response. */
        @Test
        public void streamIsRelayed() throws IOException {
            entry.endpoint()
                    .respond(
                            new Step.Send(PROCESSING + CallFixture.CHUNKED_HEAD),
                            CallFixture.chunk(CallFixture.event(1)),
                            new Step.Pause(20),
                            CallFixture.chunk(CallFixture.event(2)),
                            CallFixture.LAST_CHUNK);
            String response = entry.call("stream", "c1", "", "");
            assertTrue(response.contains("word1"), response);
            assertTrue(response.endsWith("0\r\n\r\n"), response);
        }

        /** Guards against a kept connection whose next interim response is not expected. */
        @Test
        public void connectionIsReused() throws IOException {
            for (int i = 0; i < 3; i++) {
                entry.endpoint().respond(new Step.Send(PROCESSING + finalResponse("c" + i)));
                assertTrue(entry.call("unsafe", "c" + i, "", "").endsWith("answer"));
            }
            assertEquals(entry.endpoint().connectionsClosedByClient(), 0);
        }
    }

    /** Interim responses after which the endpoint closes the connection. */
    public static final class BeforeAClose extends CallFixture {
        /** Guards against a call that may not run twice and never gets a response. */
        @Test(dataProvider = "interimHeads", dataProviderClass = InterimResponsesTest.class)
        public void callIsAnsweredAtOnce(String heads) throws IOException {
            for (String route : new String[] {"unsafe", "stream"}) {
                scriptAllEndpoints(new Step.Send(heads), new Step.Pause(20), new Step.Close());
                String response = entry.call(route, "c1", "", "");
                assertTrue(response.startsWith("HTTP/1.1 502"), route + ": " + response);
            }
        }

        /** Guards against failing a call that another endpoint can still answer. */
        @Test
        public void safeCallIsSentToAnotherEndpoint() throws IOException {
            scriptAllEndpoints(new Step.Send(PROCESSING), new Step.Close());
            String response = entry.call("safe", "c1", "", "");
            assertTrue(response.startsWith("HTTP/1.1 502"), response);
            assertEquals(entry.receivedCount(), 2);
        }

        /** Guards against an interim head that is taken for a complete one at its end. */
        @Test
        public void headCutAtAnyByteIsNoResponse() throws IOException {
            for (int cut = 1; cut < PROCESSING.length(); cut += 5) {
                scriptAllEndpoints(new Step.Send(PROCESSING.substring(0, cut)), new Step.Close());
                String response = entry.call("unsafe", "c1", "", "");
                assertTrue(response.startsWith("HTTP/1.1 502"), cut + ": " + response);
            }
        }

        /** Guards against a change of protocols that nobody has asked for. */
        @Test
        public void switchingProtocolsIsNoResponse() throws IOException {
            scriptAllEndpoints(
                    new Step.Send(
                            "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\n"
                                    + "Upgrade: other\r\nCall-Id: c1\r\n\r\n"),
                    new Step.Pause(1_500));
            String response = entry.call("unsafe", "c1", "", "");
            assertTrue(response.startsWith("HTTP/1.1 502"), response);
        }
    }

    /** Interim responses that nothing follows. */
    public static final class BeforeSilence extends CallFixture {
        /** Guards against a call that is left without a response at the timeout of its route. */
        @Test
        public void callIsAnsweredAtItsTimeout() throws IOException {
            for (String route : new String[] {"safe", "unsafe", "stream"}) {
                scriptAllEndpoints(new Step.Send(PROCESSING), new Step.Pause(3_000));
                long startedAtNanos = System.nanoTime();
                String response = entry.call(route, "c1", "", "");
                long elapsedMillis = (System.nanoTime() - startedAtNanos) / 1_000_000;
                assertTrue(response.startsWith("HTTP/1.1 504"), route + ": " + response);
                assertFalse(response.contains("102"), response);
                assertTrue(elapsedMillis < 1_300, route + " after " + elapsedMillis + " ms");
            }
        }

        /** Guards against a call that ends late because interim responses keep coming. */
        @Test
        public void repeatedInterimResponsesDoNotExtendTheTimeout() throws IOException {
            scriptAllEndpoints(new Step.Repeat(PROCESSING, 50));
            long startedAtNanos = System.nanoTime();
            String response = entry.call("unsafe", "c1", "", "");
            long elapsedMillis = (System.nanoTime() - startedAtNanos) / 1_000_000;
            assertTrue(response.startsWith("HTTP/1.1 504"), response);
            assertTrue(elapsedMillis < 1_300, "after " + elapsedMillis + " ms");
        }
    }

    /** Interim responses to calls that a host forwards. */
    public static final class ForwardedCalls extends ForwardFixture {
        /** Guards against forwarding an interim response as the final one. */
        @Test
        public void finalResponseIsForwarded() throws IOException {
            endpoint.respond(new Step.Send(PROCESSING + finalResponse("c1")));
            Result result = forward(call("c1").build());
            assertEquals(((ForwardReply.Head) result.last()).status(), 200);
            assertEquals(result.body(), "answer");
            assertTrue(result.complete());
        }

        /** Guards against a forwarded call that never ends. */
        @Test
        public void closeAfterAnInterimResponseIsUnknown() throws IOException {
            endpoint.respond(new Step.Send(PROCESSING), new Step.Close());
            ForwardReply last =
                    forward(call("c1").remainingTime(Duration.ofSeconds(2)).build()).last();
            assertTrue(last instanceof ForwardReply.Unknown, "" + last);
        }
    }
}
