package org.tamarackfold.caller.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import org.tamarackfold.id.SoftwareVersion;
import org.tamarackfold.peer.TurnHistory;
import org.tamarackfold.standin.http.ScriptedEndpoint;
import org.tamarackfold.standin.http.ScriptedEndpoint.Step;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Resumed event streams while endpoints of two software versions serve beside each other. Guards
 * against streams that hold events of both.
 */
public final class StreamResumptionTest {
    private StreamResumptionTest() {}

    private static final SoftwareVersion OLD = new SoftwareVersion("v1");
    private static final SoftwareVersion NEW = new SoftwareVersion("v1.1");

    /** Head after which the connection is not reused, so that responses need no call id. */
    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nAnswer-Signature: sig\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";

    /**
     * Number of programs of a test. Each prefers an endpoint of its own, so that a resumption at
     * any version would reach the wrong one for most.
     */
    private static final int PROGRAMS = 6;

    /**
     * An entry host with six endpoints: the first begins all streams. It and the second run the old
     * version, the others the new one.
     */
    abstract static class TwoVersions {
        static final int ENDPOINTS = 6;

        EntryFixture entry;

        /** Starts the entry host, at which only the first endpoint is registered. */
        @BeforeMethod
        public void start() throws IOException {
            entry = new EntryFixture(ENDPOINTS);
            for (int i = 1; i < ENDPOINTS; i++) {
                entry.deregister(i);
            }
            entry.register(0, OLD);
        }

        /** Stops the entry host and its endpoints. */
        @AfterMethod(alwaysRun = true)
        public void stop() {
            entry.close();
        }

        static String program(int number) {
            return "Program-Id: p"
                    + number
                    + "\r\nProgram-Token-Budget: 1000\r\nToken-Usage: 10,20\r\n";
        }

        static String resuming(String firstCall) {
            return "Last-Event-Id: 1\r\nResumed-Call: " + firstCall + "\r\n";
        }

        static Step event(int id) {
            return CallFixture.chunk(CallFixture.event(id));
        }

        /** Begins a stream that breaks off after its first event at the first endpoint. */
        String beginAndBreakOff(String call, String headers) throws IOException {
            entry.endpoint().respond(new Step.Send(HEAD), event(1), new Step.Reset());
            String response = entry.call("resumable", call, headers, "x");
            assertTrue(response.contains("word1"), response);
            return response;
        }

        /** Registers all endpoints at a host, without the first, which has crashed. */
        static void replaceFirstEndpoint(EntryFixture host) {
            host.deregister(0);
            host.register(1, OLD);
            registerNewVersion(host);
        }

        static void registerNewVersion(EntryFixture host) {
            for (int i = 2; i < ENDPOINTS; i++) {
                host.register(i, NEW);
            }
        }

        /** Lets each endpoint but the first send the rest of one stream. */
        void scriptRemainingEvents() {
            entry.endpoints
                    .subList(1, ENDPOINTS)
                    .forEach(
                            endpoint ->
                                    endpoint.respond(
                                            new Step.Send(HEAD),
                                            event(2),
                                            CallFixture.LAST_CHUNK,
                                            new Step.Close()));
        }

        int receivedByNewVersion() {
            return entry.endpoints.subList(2, ENDPOINTS).stream()
                    .mapToInt(endpoint -> endpoint.received().size())
                    .sum();
        }

        void assertOnlyOldVersionReceived(int calls) {
            assertEquals(receivedByNewVersion(), 0, "calls at the other version");
            assertEquals(entry.endpoints.get(1).received().size(), calls);
        }

        static void assertRefusedAtOnce(String response) {
            assertTrue(response.startsWith("HTTP/1.1 503"), response);
            assertTrue(response.contains("Retry-After"), response);
        }
    }

    /** Streams whose rest an endpoint sends with a malformed head. */
    public static final class MalformedHeads extends TwoVersions {
        private static final String REPEATED_CODING =
                HEAD.replace("\r\n\r\n", "\r\nTransfer-Encoding: gzip\r\n\r\n");

        /** Guards against events of a malformed response, and against ending the stream. */
        @Test
        public void goesOnAtAnotherEndpoint() throws IOException {
            for (int i = 0; i < PROGRAMS; i++) {
                beginAndBreakOff("c" + i, program(i));
            }
            entry.deregister(0);
            entry.register(1, OLD);
            entry.register(2, OLD);
            ScriptedEndpoint sound = entry.endpoints.get(1);
            ScriptedEndpoint faulty = entry.endpoints.get(2);
            for (int i = 0; i < PROGRAMS; i++) {
                sound.respond(new Step.Send(HEAD), event(2), CallFixture.LAST_CHUNK);
                faulty.respond(new Step.Send(REPEATED_CODING), event(9), new Step.Pause(3_000));
                String headers = program(i) + resuming("c" + i);
                String response = entry.call("resumable", "r" + i, headers, "x");
                assertTrue(response.startsWith("HTTP/1.1 200"), response);
                assertTrue(response.contains("word2"), response);
                assertFalse(response.contains("word9"), response);
                assertTrue(response.endsWith("0\r\n\r\n"), response);
            }
            assertEquals(sound.received().size(), PROGRAMS);
            assertTrue(faulty.received().size() > 0, "no call was sent to the faulty endpoint");
        }
    }

    /** Streams that go on while an endpoint of their version serves. */
    public static final class GoesOn extends TwoVersions {
        /** Guards against a stream that goes on at another version at the same entry host. */
        @Test
        public void atTheSameHost() throws IOException {
            for (int i = 0; i < PROGRAMS; i++) {
                beginAndBreakOff("c" + i, program(i));
            }
            replaceFirstEndpoint(entry);
            for (int i = 0; i < PROGRAMS; i++) {
                scriptRemainingEvents();
                String headers = program(i) + resuming("c" + i);
                String response = entry.call("resumable", "again" + i, headers, "x");
                assertTrue(response.contains("word2"), response);
            }
            assertOnlyOldVersionReceived(PROGRAMS);
        }

        /**
         * Guards against the version being known only at the entry host that began the stream,
         * which was killed.
         */
        @Test
        public void atAnotherHostAfterTheFirstHasEnded() throws IOException {
            for (int i = 0; i < PROGRAMS; i++) {
                beginAndBreakOff("c" + i, program(i));
            }
            EntryFixture other = new EntryFixture(entry);
            entry.stopHost();
            entry = other;
            replaceFirstEndpoint(other);
            for (int i = 0; i < PROGRAMS; i++) {
                scriptRemainingEvents();
                String headers = program(i) + resuming("c" + i);
                String response = other.call("resumable", "again" + i, headers, "x");
                assertTrue(response.contains("word2"), response);
            }
            assertOnlyOldVersionReceived(PROGRAMS);
        }

        /**
         * Guards against a stream that changes the version at its second resumption, which names
         * the first call again.
         */
        @Test
        public void overSeveralTries() throws IOException {
            for (int i = 0; i < PROGRAMS; i++) {
                beginAndBreakOff("c" + i, program(i));
            }
            replaceFirstEndpoint(entry);
            for (int i = 0; i < 2 * PROGRAMS; i++) {
                entry.endpoints
                        .subList(1, ENDPOINTS)
                        .forEach(
                                endpoint ->
                                        endpoint.respond(
                                                new Step.Send(HEAD), event(2), new Step.Reset()));
                String headers = program(i / 2) + resuming("c" + i / 2);
                entry.call("resumable", "again" + i, headers, "x");
            }
            assertOnlyOldVersionReceived(2 * PROGRAMS);
        }

        /** Guards against a stream outside of programs whose version is not recorded. */
        @Test
        public void withoutAProgram() throws IOException {
            for (int i = 0; i < PROGRAMS; i++) {
                beginAndBreakOff("c" + i, "Affinity: a" + i + "\r\n");
            }
            replaceFirstEndpoint(entry);
            for (int i = 0; i < PROGRAMS; i++) {
                scriptRemainingEvents();
                String headers = "Affinity: a" + i + "\r\n" + resuming("c" + i);
                String response = entry.call("resumable", "again" + i, headers, "x");
                assertTrue(response.contains("word2"), response);
            }
            assertOnlyOldVersionReceived(PROGRAMS);
            assertEquals(entry.history.settlements, List.of());
        }

        /** Guards against refusing a stream whose first call is not named while all can go on. */
        @Test
        public void unnamedWhileOneVersionServes() throws IOException {
            beginAndBreakOff("c0", program(0));
            entry.deregister(0);
            entry.register(1, OLD);
            scriptRemainingEvents();
            String headers = program(0) + "Last-Event-Id: 1\r\n";
            String response = entry.call("resumable", "again", headers, "x");
            assertTrue(response.contains("word2"), response);
        }
    }

    /** Streams that cannot go on. */
    public static final class IsRefused extends TwoVersions {
        /**
         * Guards against a stream that goes on at another version when the last endpoint of its own
         * has left.
         */
        @Test
        public void whenNoEndpointOfTheVersionIsLeft() throws IOException {
            beginAndBreakOff("c0", program(0));
            entry.deregister(0);
            registerNewVersion(entry);
            scriptRemainingEvents();
            String headers = program(0) + resuming("c0");
            assertRefusedAtOnce(entry.call("resumable", "again", headers, "x"));
            assertEquals(receivedByNewVersion(), 0);
        }

        /** Guards against a resumption at any version when the first call is not recorded. */
        @Test
        public void whenTheFirstCallIsUnknown() throws IOException {
            replaceFirstEndpoint(entry);
            scriptRemainingEvents();
            String headers = program(0) + resuming("unknown");
            assertRefusedAtOnce(entry.call("resumable", "again", headers, "x"));
            assertEquals(entry.receivedCount(), 0);
        }

        /** Guards against a resumption at any version when the storage hosts do not reply. */
        @Test
        public void whenTheOriginCannotBeRead() throws IOException {
            beginAndBreakOff("c0", program(0));
            replaceFirstEndpoint(entry);
            scriptRemainingEvents();
            entry.history.reservationResult = new TurnHistory.Reservation.Unavailable("test");
            String headers = program(0) + resuming("c0");
            assertRefusedAtOnce(entry.call("resumable", "again", headers, "x"));
            assertEquals(entry.receivedCount(), 1);
        }

        /** Guards against a guess of the version when the caller does not name the first call. */
        @Test
        public void unnamedWhileTwoVersionsServe() throws IOException {
            beginAndBreakOff("c0", program(0));
            replaceFirstEndpoint(entry);
            scriptRemainingEvents();
            String headers = program(0) + "Last-Event-Id: 1\r\n";
            assertRefusedAtOnce(entry.call("resumable", "again", headers, "x"));
            assertEquals(entry.receivedCount(), 1);
        }
    }

    /** Streams whose endpoint changes before their first event. */
    public static final class BeforeTheFirstEvent extends TwoVersions {
        private static final Step REJECTION =
                new Step.Send(
                        ScriptedEndpoint.completeResponse(
                                "503 Service Unavailable", "Not-Run: 1\r\nConnection: close", ""));

        /**
         * Guards against an origin that names the version of an endpoint which has rejected the
         * call, while one of the other version began the stream.
         */
        @Test
        public void originIsThatOfTheEndpointThatRunsTheCall() throws IOException {
            for (int i = 0; i < PROGRAMS; i++) {
                entry.endpoint().respond(REJECTION, new Step.Close());
                entry.endpoints.get(2).respond(new Step.Send(HEAD), event(1), new Step.Reset());
                entry.deregister(2);
                entry.history.onReservation = () -> entry.register(2, NEW);
                String response = entry.call("resumable", "c" + i, program(i), "x");
                assertTrue(response.contains("word1"), response);
            }
            entry.history.onReservation = () -> {};
            entry.deregister(2);
            entry.register(1, OLD);
            entry.register(3, NEW);
            for (int i = 0; i < PROGRAMS; i++) {
                scriptRemainingEvents();
                entry.call("resumable", "again" + i, program(i) + resuming("c" + i), "x");
            }
            assertEquals(entry.endpoints.get(1).received().size(), 0);
            assertEquals(entry.endpoints.get(3).received().size(), PROGRAMS);
        }

        /**
         * Guards against an attempt at another version whose origin is not recorded, by storage
         * hosts of an earlier version.
         */
        @Test
        public void noOtherVersionWithoutARecord() throws IOException {
            entry.history.recordsOrigins = false;
            entry.endpoint().respond(REJECTION, new Step.Close());
            entry.endpoints
                    .get(2)
                    .respond(
                            new Step.Send(HEAD),
                            event(1),
                            CallFixture.LAST_CHUNK,
                            new Step.Close());
            entry.history.onReservation = () -> entry.register(2, NEW);
            assertRefusedAtOnce(entry.call("resumable", "c0", program(0), "x"));
            assertEquals(receivedByNewVersion(), 0);
        }

        /** Guards against refusing new streams while storage hosts record no origins. */
        @Test
        public void newStreamsAreServedWithoutARecord() throws IOException {
            entry.history.recordsOrigins = false;
            beginAndBreakOff("c0", program(0));
        }

        /**
         * Guards against events of an endpoint that has restarted under its id with another version
         * since it was selected.
         */
        @Test
        public void eventsOfARestartedEndpointAreNotRelayed() throws IOException {
            entry.endpoint()
                    .respond(
                            new Step.Send(HEAD),
                            new Step.Pause(200),
                            event(1),
                            CallFixture.LAST_CHUNK,
                            new Step.Close());
            CompletableFuture<Void> restarted =
                    CompletableFuture.runAsync(this::restartWhileTheCallRuns);
            String response = entry.call("resumable", "c0", program(0), "x");
            restarted.join();
            assertFalse(response.contains("word1"), response);
            assertTrue(response.startsWith("HTTP/1.1 50"), response);
        }

        private void restartWhileTheCallRuns() {
            while (entry.endpoint().received().isEmpty()) {
                LockSupport.parkNanos(1_000_000);
            }
            entry.register(0, NEW);
        }
    }
}
