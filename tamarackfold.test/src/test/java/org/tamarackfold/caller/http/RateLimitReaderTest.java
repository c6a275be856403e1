package org.tamarackfold.caller.http;

import static org.testng.Assert.assertEquals;

import io.vavr.control.Option;
import java.io.IOException;
import org.tamarackfold.endpoint.RateLimit;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.standin.http.ScriptedEndpoint;
import org.tamarackfold.standin.http.ScriptedEndpoint.Step;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What an entry host learns from the rate limits that an endpoint states in its responses. */
public final class RateLimitReaderTest {
    private RateLimitReaderTest() {}

    /** An entry host with one endpoint. */
    abstract static class SingleEndpoint extends CallFixture {
        @Override
        @BeforeMethod
        public void start() throws IOException {
            entry = new EntryFixture(1);
        }

        void respond(String status, String headers) throws IOException {
            // The connection is reused, where only responses with the id of their call count.
            entry.endpoint().respond(status, headers + "\r\nCall-Id: c1", "");
            entry.call("unsafe", "c1", "", "");
        }

        void respondWithLimit(String limit) throws IOException {
            respond("200 OK", SIGNATURE + "\r\nRate-Limit: " + limit);
        }

        /** Returns the limit that the table has for the endpoint, and removes it there. */
        Option<Double> takeKnownLimit() {
            return entry.endpointTable
                    .recordRateLimit(new EndpointId("engine-0"), Option.none(), 0)
                    .map(RateLimit::callsPerSecond);
        }
    }

    /** Responses that state a limit, or none any more. */
    public static final class Statements extends SingleEndpoint {
        /** Guards against a limit that no host reads. */
        @Test
        public void firstResponseThatStatesALimitIsRead() throws IOException {
            respondWithLimit("4.5");
            assertEquals(takeKnownLimit(), Option.some(4.5));
        }

        /** Guards against keeping an old figure. */
        @Test
        public void aChangedFigureReplacesTheOldOne() throws IOException {
            respondWithLimit("4000");
            respondWithLimit("3000.25");
            assertEquals(takeKnownLimit(), Option.some(3000.25));
        }

        /** Guards against a limit that outlasts the need of its endpoint. */
        @Test
        public void aResponseWithoutALimitEndsIt() throws IOException {
            respondWithLimit("4000");
            respond("200 OK", SIGNATURE);
            assertEquals(takeKnownLimit(), Option.none());
        }

        /** Guards against reading limits of successful responses only. */
        @Test
        public void rejectionsAndErrorsStateLimitsToo() throws IOException {
            respond("503 Busy", "Not-Run: 1\r\nRate-Limit: 3");
            assertEquals(takeKnownLimit(), Option.some(3.0));
            respond("500 Failed", SIGNATURE + "\r\nRate-Limit: 2");
            assertEquals(takeKnownLimit(), Option.some(2.0));
        }

        /** Guards against a limit of zero that is taken for none. */
        @Test
        public void zeroIsALimit() throws IOException {
            respondWithLimit("0");
            assertEquals(takeKnownLimit(), Option.some(0.0));
        }
    }

    /** Values and responses that say nothing about the limit of the endpoint. */
    public static final class Malformed extends SingleEndpoint {
        /** Guards against a malformed value that ends a limit or becomes one. */
        @Test
        public void malformedValuesChangeNothing() throws IOException {
            String[] values = {
                "", "-1", "NaN", "Infinity", "1e9", "0x10", "three", "1.2.3", "9".repeat(400)
            };
            for (String value : values) {
                respondWithLimit("4000");
                respondWithLimit(value);
                assertEquals(takeKnownLimit(), Option.some(4000.0), value);
                respondWithLimit(value);
                assertEquals(takeKnownLimit(), Option.none(), value);
            }
        }

        /** Guards against the limit of another endpoint that now has the address. */
        @Test
        public void aMisdirectedCallStatesNoLimit() throws IOException {
            respond("421 Misdirected", "Not-Run: 1\r\nRate-Limit: 1");
            assertEquals(takeKnownLimit(), Option.none());
        }

        /** Guards against a late copy of an earlier response that states a limit. */
        @Test
        public void aLateCopyStatesNoLimit() throws IOException {
            String headers = SIGNATURE + "\r\nCall-Id: c0\r\nRate-Limit: 1";
            String copy = ScriptedEndpoint.completeResponse("200 OK", headers, "");
            entry.endpoint().respond(new Step.Send(copy));
            entry.call("unsafe", "c1", "", "");
            assertEquals(takeKnownLimit(), Option.none());
        }
    }
}
