package org.tamarackfold.daemon.soak.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import org.tamarackfold.daemon.soak.ContinuedTurns;
import org.tamarackfold.daemon.soak.Customer;
import org.tamarackfold.daemon.soak.CustomerChecks;
import org.tamarackfold.daemon.soak.Demand;
import org.tamarackfold.daemon.soak.FaultTimeline;
import org.tamarackfold.daemon.soak.KeyTable;
import org.tamarackfold.daemon.soak.Ledger;
import org.tamarackfold.daemon.soak.ServedShares;
import org.tamarackfold.id.CustomerName;
import org.tamarackfold.id.HostId;
import org.tamarackfold.standin.http.ScriptedEndpoint;
import org.tamarackfold.standin.http.ScriptedEndpoint.Step;
import org.tamarackfold.transport.HttpRequest;
import org.tamarackfold.transport.IoRuntime;
import org.tamarackfold.transport.PooledHttpClient;
import org.tamarackfold.transport.ResponseForms;
import org.tamarackfold.transport.ResponseForms.Form;
import org.tamarackfold.transport.ResponseHead;
import org.tamarackfold.transport.TransportFailure;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What the callers of the fault soak make of the responses of entry hosts. */
public final class CallerTest {
    private CallerTest() {}

    /** An I/O thread, and a host that sends scripted responses. */
    abstract static class Fixture {
        IoRuntime runtime;
        ScriptedEndpoint host;

        /** Starts the host. */
        @BeforeMethod
        public void start() throws IOException {
            runtime = IoRuntime.start(1);
            host = new ScriptedEndpoint();
        }

        /** Stops the host. */
        @AfterMethod(alwaysRun = true)
        public void stop() {
            host.close();
            runtime.stop();
        }
    }

    /** Responses that the soak must report. */
    public static final class MalformedResponses extends Fixture {
        private static final String REFUSAL = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n";
        private static final String MALFORMED = REFUSAL + "Content-Length: 0\r\n\r\n";
        private static final long SEED = 1;

        private Ledger ledger;

        @Override
        @BeforeMethod
        public void start() throws IOException {
            super.start();
            PrintStream unread = new PrintStream(OutputStream.nullOutputStream());
            ledger = new Ledger(new FaultTimeline(), unread, SEED, 0);
        }

        /** Runs a caller until it has received some responses; returns the violations. */
        private List<String> violationsOf(ScriptedEndpoint directory, int responses)
                throws Exception {
            try (LoopbackProxy proxy = new LoopbackProxy(host.address())) {
                EntryHost entryHost =
                        new EntryHost(
                                new HostId("entry-1"), host.address(), proxy, directory.address());
                Caller caller = caller(entryHost);
                Thread thread = Thread.ofVirtual().start(caller);
                for (int i = 0; i < 1_000 && host.responseEndsNanos().size() < responses; i++) {
                    Thread.sleep(10);
                }
                caller.stop();
                thread.join();
            }
            return ledger.violations().asJava();
        }

        private Caller caller(EntryHost entryHost) {
            Customer customer = new Customer(new CustomerName("steady"), 0, 0, new Demand.Steady());
            FaultTimeline timeline = new FaultTimeline();
            KeyTable keys = new KeyTable(Vector.of(customer));
            return new Caller(
                    runtime,
                    "c1",
                    customer,
                    ledger,
                    new CustomerChecks(ledger, timeline, keys),
                    keys,
                    new ServedShares(ledger, timeline, false),
                    new ContinuedTurns(ledger, timeline),
                    Vector.of(entryHost),
                    SEED);
        }

        /** Guards against a soak that passes although its callers get no response of HTTP. */
        @Test
        public void responseIsReported() throws Exception {
            host.respond(new Step.Send(MALFORMED));
            for (int i = 0; i < 20; i++) {
                host.respond(new Step.Send(REFUSAL + "\r\n"));
            }
            try (ScriptedEndpoint directory = new ScriptedEndpoint()) {
                directory.respond(new Step.Close());
                List<String> violations = violationsOf(directory, 2);
                assertEquals(violations.size(), 1, "" + violations);
                assertTrue(violations.getFirst().contains("MIXED"), "" + violations);
                assertTrue(violations.getFirst().contains("repeated"), "" + violations);
            }
        }

        /** Guards against a malformed directory, which callers would pass over. */
        @Test
        public void directoryIsReported() throws Exception {
            for (int i = 0; i < 20; i++) {
                host.respond(new Step.Send(REFUSAL + "\r\n"));
            }
            try (ScriptedEndpoint directory = new ScriptedEndpoint()) {
                directory.respond(new Step.Send(MALFORMED)).respond(new Step.Close());
                List<String> violations = violationsOf(directory, 1);
                assertEquals(violations.size(), 1, "" + violations);
                assertTrue(violations.getFirst().contains("directory of entry-1"), "" + violations);
            }
        }
    }

    /** Single responses. */
    public static final class Receptions extends Fixture {
        private Reception start(Duration pause) {
            HttpRequest request =
                    HttpRequest.builder()
                            .address(host.address())
                            .path("/x")
                            .connectTimeout(Duration.ofSeconds(1))
                            .withoutResponseTimeout()
                            .build();
            PooledHttpClient client =
                    new PooledHttpClient(runtime, Duration.ofSeconds(4).toNanos());
            return Reception.start(runtime, client, request, pause);
        }

        /** Guards against a caller that takes malformed bytes for a response. */
        @Test(dataProvider = "malformedHeads", dataProviderClass = ResponseForms.class)
        public void malformedHeadIsAFailure(Form form) throws Exception {
            host.respond(new Step.Send(form.with("")), new Step.Pause(5_000));
            Either<TransportFailure, ResponseHead> end = start(Duration.ZERO).await(2_000);
            assertTrue(end.isLeft(), "" + end);
            assertTrue(end.getLeft() instanceof TransportFailure.Malformed, "" + end);
        }

        /** Guards against failing sound responses. */
        @Test(dataProvider = "soundResponses", dataProviderClass = ResponseForms.class)
        public void soundResponseIsRead(Form form) throws Exception {
            host.respond(new Step.Send(form.with("")));
            Reception reception = start(Duration.ZERO);
            assertEquals(reception.await(2_000).get().status(), 200);
            assertEquals(reception.body(), "hello");
        }

        /** Guards against a slow reader that reads everything at once, or loses a part. */
        @Test
        public void slowReaderPauses() throws Exception {
            String body = "b".repeat(256 * 1024);
            host.respond("200 OK", "", body);
            long startedAtNanos = System.nanoTime();
            Reception reception = start(Duration.ofMillis(10));
            assertEquals(reception.await(5_000).get().status(), 200);
            long elapsedMillis = (System.nanoTime() - startedAtNanos) / 1_000_000;
            assertEquals(reception.body(), body);
            assertTrue(elapsedMillis >= 100, "read after " + elapsedMillis + " ms");
        }
    }
}
