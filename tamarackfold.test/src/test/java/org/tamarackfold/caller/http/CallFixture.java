package org.tamarackfold.caller.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.io.IOException;
import java.util.List;
import org.tamarackfold.standin.http.ScriptedEndpoint;
import org.tamarackfold.standin.http.ScriptedEndpoint.Step;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/** An entry host with two endpoints, started for each test. */
abstract class CallFixture {
    static final String SIGNATURE = "Answer-Signature: sig";
    static final String PROGRAM_HEADERS =
            "Program-Id: p1\r\nProgram-Token-Budget: 100\r\nToken-Usage: 10,20\r\n";
    static final String CHUNKED_HEAD =
            "HTTP/1.1 200 OK\r\nAnswer-Signature: sig\r\nTransfer-Encoding: chunked\r\n\r\n";

    static Step chunk(String text) {
        return new Step.Send(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    static String event(int id) {
        return "id: " + id + "\ndata: word" + id + "\n\n";
    }

    static final Step LAST_CHUNK = new Step.Send("0\r\n\r\n");

    EntryFixture entry;

    /** Starts the entry host and its endpoints. */
    @BeforeMethod
    public void start() throws IOException {
        entry = new EntryFixture(2);
    }

    /**
     * Stops the entry host and its endpoints. Checks first that no call still counts as in flight,
     * which would keep other calls from its endpoint for good.
     */
    @AfterMethod(alwaysRun = true)
    public void stop() throws InterruptedException {
        long deadlineNanos = System.nanoTime() + 3_000_000_000L;
        while (entry.hasCallInFlight() && System.nanoTime() < deadlineNanos) {
            Thread.sleep(10);
        }
        boolean inFlight = entry.hasCallInFlight();
        entry.close();
        assertFalse(inFlight, "a call still counts as in flight");
    }

    /** Scripts the same response at both endpoints, because either may be selected. */
    void scriptAllEndpoints(Step... steps) {
        entry.endpoints.forEach(endpoint -> endpoint.respond(steps));
    }

    void scriptAllEndpoints(String status, String headers, String body) {
        scriptAllEndpoints(new Step.Send(ScriptedEndpoint.completeResponse(status, headers, body)));
    }

    ScriptedEndpoint.ReceivedRequest onlyReceivedRequest() {
        List<ScriptedEndpoint.ReceivedRequest> all =
                entry.endpoints.stream().flatMap(endpoint -> endpoint.received().stream()).toList();
        assertEquals(all.size(), 1);
        return all.getFirst();
    }
}
