package org.tamarackfold.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import org.tamarackfold.caller.http.CallHeaderNames;
import org.tamarackfold.endpoint.EndpointRecord;
import org.tamarackfold.id.SoftwareVersion;
import org.tamarackfold.operator.CallSemantics;
import org.tamarackfold.operator.Release;
import org.testng.annotations.Test;

/** Decoding of endpoint registrations and releases in the formats of the platform. */
public final class FleetAdapterTest {
    private FleetAdapterTest() {}

    private static final FleetAdapter ADAPTER = new FleetAdapter();

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Names of headers that endpoints set in their responses. */
    public static final class HeaderNames {
        /** Guards against a header that is read under another name than the platform gives it. */
        @Test
        public void statementsOfEndpointsAreTranslated() {
            CallHeaderNames names = ADAPTER.callHeaderNames();
            assertEquals(names.rateLimit().toString(), "Server-Limit");
            assertEquals(names.leaving().toString(), "Server-Leaving");
            assertEquals(names.signature().toString(), "X-Tamarackfold-Response-Signature");
        }
    }

    /** Registrations of endpoints. */
    public static final class Registrations {
        private static final String REGISTRATION =
                """
                {"service":"s1","address":"10.1.0.9:8080","zone":"a","version":"v1","slots":12,
                 "state":"draining","coldRemainingMs":0,"sequence":4,"born":1700000000000}
                """;

        private static Either<String, EndpointRecord> decode(String text) {
            return ADAPTER.decodeEndpoint("servers/i-1", utf8(text));
        }

        /** Guards against sending calls to an endpoint that is draining. */
        @Test
        public void drainingStateIsDecoded() {
            EndpointRecord record = decode(REGISTRATION).get();
            assertTrue(record.draining());
            assertEquals(record.id().value(), "i-1");
            assertEquals(record.startedAtMillis(), 1_700_000_000_000L);
        }

        /** Guards against endpoints of two software versions that seem to have the same one. */
        @Test
        public void softwareVersionIsDecoded() {
            assertEquals(decode(REGISTRATION).get().version(), new SoftwareVersion("v1"));
            String overlong = REGISTRATION.replace("\"v1\"", '"' + "v".repeat(129) + '"');
            assertTrue(decode(overlong).isLeft());
        }

        /**
         * Guards against using a malformed registration, for example one that another program has
         * written under the same prefix.
         */
        @Test
        public void malformedRegistrationsAreRejected() {
            assertTrue(decode(REGISTRATION.replace("draining", "sleeping")).isLeft());
            assertTrue(decode(REGISTRATION.replace("\"slots\":12", "\"slots\":\"12\"")).isLeft());
            assertTrue(decode(REGISTRATION.replace("\"service\":\"s1\",", "")).isLeft());
            assertTrue(decode("\u0000\u0001 not JSON").isLeft());
            assertTrue(decode("[]").isLeft());
        }

        /**
         * Guards against using a registration of another writer that lacks a field, or holds one of
         * another type, which is not read otherwise.
         */
        @Test
        public void registrationsWithDamagedUnusedFieldsAreRejected() {
            assertTrue(decode(REGISTRATION.replace("\"slots\":12", "\"slots\":12.5")).isLeft());
            assertTrue(decode(REGISTRATION.replace("\"slots\":12", "\"slots\":9e15")).isLeft());
            assertTrue(decode(REGISTRATION.replace("\"version\":\"v1\",", "")).isLeft());
            assertTrue(decode(REGISTRATION.replace("\"sequence\":4,", "")).isLeft());
            assertTrue(decode(REGISTRATION.replace("Ms\":0", "Ms\":\"0\"")).isLeft());
        }
    }

    /** Releases. */
    public static final class Releases {
        private static final String RELEASE =
                """
                {"version":7,"routes":[
                 {"name":"r1","host":"h.example","prefix":"/a/","type":"streaming","timeoutMs":3000,
                  "targetLatencyMs":250,"priority":0,"service":"s1","maxAttempts":1,
                  "stateful":true,"retentionS":60.0,"sticky":true,"resumable":false},
                 {"name":"r2","host":"h.example","prefix":"/a/b/","type":"safe","timeoutMs":2000,
                  "targetLatencyMs":400,"priority":2,
                  "weightedServices":[{"service":"s1","weight":90},{"service":"s2","weight":10}]}],
                 "services":[{"name":"s1","healthPath":"/h","maxConnections":9,
                  "engine":{"slots":12,"chunkTokens":5}}],
                 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":100,"headerTimeoutMs":3000,
                  "idleTimeoutMs":15000}}
                """;

        /** Guards against choosing a shorter matching prefix when a longer one matches. */
        @Test
        public void longestPrefixApplies() {
            Release release = ADAPTER.decodeRelease(utf8(RELEASE)).get();
            assertEquals(release.routeFor("H.example", "/a/b/c").get().name().value(), "r2");
            assertEquals(release.routeFor("h.example", "/a/c").get().name().value(), "r1");
            assertTrue(release.routeFor("h.example", "/b/").isEmpty());
            assertTrue(release.routeFor("other.example", "/a/").isEmpty());
        }

        /**
         * Guards against a wrongly decoded type, which would let at-most-once calls run more than
         * once.
         */
        @Test
        public void routeTypesAreDecoded() {
            Release release = ADAPTER.decodeRelease(utf8(RELEASE)).get();
            assertEquals(
                    release.routeFor("h.example", "/a/c").get().callSemantics(),
                    CallSemantics.AT_MOST_ONCE_STREAM);
            assertEquals(
                    release.routeFor("h.example", "/a/b/").get().callSemantics(),
                    CallSemantics.IDEMPOTENT);
        }

        /** Guards against applying the rest of a release that has a route of an unknown type. */
        @Test
        public void unknownRouteTypeIsRejected() {
            String text = RELEASE.replace("\"safe\"", "\"other\"");
            assertTrue(ADAPTER.decodeRelease(utf8(text)).isLeft());
        }
    }
}
