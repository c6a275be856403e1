package org.tamarackfold.peer.thrift;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.time.Duration;
import org.tamarackfold.caller.quarantine.QuarantineChannel;
import org.tamarackfold.caller.quarantine.Software;
import org.tamarackfold.caller.quarantine.SuspicionKey;
import org.tamarackfold.caller.quarantine.SuspicionReport;
import org.tamarackfold.caller.quarantine.TrialDecision;
import org.tamarackfold.caller.quarantine.TrialKey;
import org.tamarackfold.endpoint.Incarnation;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.HostId;
import org.tamarackfold.id.RequestFingerprint;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.id.SoftwareVersion;
import org.tamarackfold.peer.ForwardedCall;
import org.testng.annotations.Test;

/** Messages about requests that are suspected of crashing endpoints. */
public final class QuarantineCodecTest {
    private static final RequestFingerprint REQUEST = new RequestFingerprint(-5, 7);
    private static final ServiceName SERVICE = new ServiceName("models");

    private QuarantineCodecTest() {}

    private static SuspicionReport report(Duration age) {
        return new SuspicionReport(
                new SuspicionKey(REQUEST, new Software(SERVICE, new SoftwareVersion("v1"))),
                Vector.of(
                        new SuspicionReport.Run(
                                new Incarnation(new EndpointId("engine-1"), 17), 250, age)),
                Option.some(Duration.ofSeconds(3)),
                Option.none());
    }

    /** Messages that are read as they were written. */
    public static final class RoundTrips {
        /** Guards against evidence that changes on its way. */
        @Test
        public void exchangesAreRead() {
            QuarantineChannel.Exchange exchange =
                    new QuarantineChannel.Exchange(
                            -99, Vector.of(report(Duration.ofMillis(1_234))));
            assertEquals(
                    QuarantineCodec.decodeExchange(QuarantineCodec.encode(exchange)), exchange);
        }

        /** Guards against a request for a trial that is read as its end, or the reverse. */
        @Test
        public void trialMessagesAreRead() {
            for (Option<Duration> lease :
                    Vector.of(Option.<Duration>none(), Option.some(Duration.ofSeconds(4)))) {
                QuarantineCodec.TrialMessage message =
                        new QuarantineCodec.TrialMessage(
                                new HostId("entry-1"),
                                new TrialKey(REQUEST, SERVICE),
                                lease,
                                Vector.of(report(Duration.ZERO)));
                assertEquals(
                        QuarantineCodec.decodeTrialMessage(QuarantineCodec.encode(message)),
                        message);
            }
        }

        /** Guards against a denied trial that is read as granted. */
        @Test
        public void decisionsAreRead() {
            for (TrialDecision decision :
                    Vector.of(
                            new TrialDecision.Granted(),
                            new TrialDecision.Later(Duration.ofMillis(300)),
                            new TrialDecision.Denied(Duration.ofMinutes(9)))) {
                QuarantineChannel.TrialReply reply =
                        new QuarantineChannel.TrialReply(decision, Vector.empty());
                assertEquals(
                        QuarantineCodec.decodeTrialReply(QuarantineCodec.encode(reply)), reply);
            }
        }
    }

    /** Messages that must not be applied. */
    public static final class MalformedMessages {
        /** Guards against times in the future, which would outlast every quarantine. */
        @Test
        public void negativeAgesAreRejected() {
            byte[] message =
                    QuarantineCodec.encode(
                            new QuarantineChannel.Exchange(
                                    0, Vector.of(report(Duration.ofSeconds(-1)))));
            assertThrows(
                    IllegalArgumentException.class, () -> QuarantineCodec.decodeExchange(message));
        }

        /** Guards against bytes that take the process down. */
        @Test
        public void otherBytesAreRejected() {
            byte[] bytes = {1, 2, 3};
            assertThrows(
                    IllegalArgumentException.class, () -> QuarantineCodec.decodeExchange(bytes));
            assertThrows(
                    IllegalArgumentException.class,
                    () -> QuarantineCodec.decodeTrialMessage(bytes));
        }
    }

    /** Forwarded calls of both builds. */
    public static final class ForwardedCalls {
        private static ForwardedCall call(Option<RequestFingerprint> fingerprint) {
            return ForwardedCall.builder()
                    .id(new CallId("c1"))
                    .endpoint(new EndpointId("engine-1"))
                    .method("POST")
                    .pathAndQuery("/x")
                    .headers(Vector.empty())
                    .body(new byte[] {1})
                    .remainingTime(Duration.ofSeconds(1))
                    .fingerprint(fingerprint)
                    .build();
        }

        /** Guards against ends that a forwarding host sees and cannot assign to a request. */
        @Test
        public void fingerprintIsPassedOn() {
            byte[] message = ForwardCodec.encode(call(Option.some(REQUEST)));
            assertEquals(ForwardCodec.decodeCall(message).fingerprint(), Option.some(REQUEST));
        }

        /** Guards against calls of an earlier build that are not forwarded. */
        @Test
        public void callsWithoutOneAreRead() {
            byte[] message = ForwardCodec.encode(call(Option.none()));
            assertEquals(ForwardCodec.decodeCall(message).fingerprint(), Option.none());
        }
    }
}
