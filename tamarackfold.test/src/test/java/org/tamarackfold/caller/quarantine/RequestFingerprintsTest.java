package org.tamarackfold.caller.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import org.tamarackfold.caller.CallDescription;
import org.tamarackfold.caller.ProgramTurn;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.CustomerName;
import org.tamarackfold.id.ProgramId;
import org.tamarackfold.id.RequestFingerprint;
import org.testng.annotations.Test;

/** What makes two requests the same. */
public final class RequestFingerprintsTest {
    private RequestFingerprintsTest() {}

    private static CallDescription.Builder call(String id) {
        return CallDescription.builder()
                .id(new CallId(id))
                .method("POST")
                .host("h.example")
                .path("/turns/1");
    }

    private static RequestFingerprint of(CallDescription.Builder call, String body) {
        return RequestFingerprints.of(
                call.build(), "/turns/1", body.getBytes(StandardCharsets.UTF_8));
    }

    /** Copies of one request. */
    public static final class Copies {
        /** Guards against copies that are new requests because of their ids. */
        @Test
        public void idIsNoPart() {
            assertEquals(of(call("c1"), "body"), of(call("c2"), "body"));
        }

        /** Guards against turns that come again in another program and are new requests there. */
        @Test
        public void programAndParentAreNoPart() {
            ProgramTurn first =
                    new ProgramTurn(new ProgramId("p1"), Option.some(new CallId("c0")), 10, 5);
            ProgramTurn second = new ProgramTurn(new ProgramId("p2"), Option.none(), 10, 5);
            assertEquals(
                    of(call("c1").turn(Option.some(first)), "body"),
                    of(call("c2").turn(Option.some(second)), "body"));
        }

        /** Guards against host names in another case that hide a request. */
        @Test
        public void caseOfTheHostNameIsNoPart() {
            assertEquals(of(call("c1").host("H.Example"), "body"), of(call("c1"), "body"));
        }
    }

    /** Requests that must not block each other. */
    public static final class OtherRequests {
        /** Guards against a customer that blocks the requests of another one. */
        @Test
        public void customersAreApart() {
            RequestFingerprint ofCustomer =
                    of(call("c1").customer(Option.some(new CustomerName("a"))), "body");
            assertNotEquals(
                    of(call("c1").customer(Option.some(new CustomerName("b"))), "body"),
                    ofCustomer);
            assertNotEquals(of(call("c1"), "body"), ofCustomer);
        }

        /** Guards against requests that are blocked for their path or body alone. */
        @Test
        public void bodyMethodHostAndPathAreParts() {
            RequestFingerprint known = of(call("c1"), "body");
            assertNotEquals(of(call("c1"), "other"), known);
            assertNotEquals(of(call("c1").method("PUT"), "body"), known);
            assertNotEquals(of(call("c1").host("other.example"), "body"), known);
            assertNotEquals(
                    RequestFingerprints.of(
                            call("c1").build(),
                            "/turns/1?page=2",
                            "body".getBytes(StandardCharsets.UTF_8)),
                    known);
        }

        /** Guards against large bodies that are told apart by their ends only. */
        @Test
        public void eachByteOfALargeBodyCounts() {
            byte[] body = new byte[1_000_000];
            RequestFingerprint known = RequestFingerprints.of(call("c1").build(), "/a", body);
            for (int changed : new int[] {0, 500_000, body.length - 1}) {
                byte[] other = body.clone();
                other[changed] = 1;
                assertNotEquals(RequestFingerprints.of(call("c1").build(), "/a", other), known);
            }
            assertNotEquals(
                    RequestFingerprints.of(call("c1").build(), "/a", new byte[1_000_001]), known);
        }

        /** Guards against parts that run into each other. */
        @Test
        public void endsOfPartsCount() {
            assertNotEquals(
                    RequestFingerprints.of(call("c1").build(), "/ab", new byte[] {'c'}),
                    RequestFingerprints.of(call("c1").build(), "/a", new byte[] {'b', 'c'}));
        }
    }

    /** The encoded form. */
    public static final class Encoding {
        /** Guards against fingerprints that change on their way to another host. */
        @Test
        public void bytesAreRead() {
            RequestFingerprint known = of(call("c1"), "body");
            assertEquals(RequestFingerprint.ofBytes(known.toBytes()), known);
            assertEquals(known.toString().length(), 32);
        }

        /** Guards against malformed messages that are read. */
        @Test(expectedExceptions = IllegalArgumentException.class)
        public void otherLengthsAreRejected() {
            RequestFingerprint.ofBytes(new byte[15]);
        }
    }
}
