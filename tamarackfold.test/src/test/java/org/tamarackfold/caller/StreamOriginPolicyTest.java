package org.tamarackfold.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vavr.collection.HashSet;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.Set;
import org.tamarackfold.endpoint.EndpointRecord;
import org.tamarackfold.endpoint.SelectionRequest;
import org.tamarackfold.id.Address;
import org.tamarackfold.id.AvailabilityZone;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.RouteName;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.id.SoftwareVersion;
import org.tamarackfold.operator.CallSemantics;
import org.tamarackfold.operator.Route;
import org.tamarackfold.operator.WeightedService;
import org.tamarackfold.peer.StreamOrigin;
import org.tamarackfold.peer.StreamStart;
import org.testng.annotations.Test;

/**
 * At which software version a call may run. Guards against streams that hold events of two
 * versions.
 */
public final class StreamOriginPolicyTest {
    private StreamOriginPolicyTest() {}

    private static final ServiceName SERVICE = new ServiceName("s");
    private static final SoftwareVersion OLD = new SoftwareVersion("v1");
    private static final SoftwareVersion NEW = new SoftwareVersion("v2");
    private static final SelectionRequest REQUEST =
            new SelectionRequest(SERVICE, Option.none(), HashSet.empty());
    private static final StreamStart UNTRACKED = new StreamStart.Untracked();

    private static StreamOriginPolicy policy(
            CallSemantics callSemantics, Option<Resumption> resumption, String... services) {
        Vector<WeightedService> weighted =
                Vector.of(services).map(name -> new WeightedService(new ServiceName(name), 1));
        Route route =
                Route.builder()
                        .name(new RouteName("r"))
                        .host("h")
                        .prefix("/")
                        .callSemantics(callSemantics)
                        .services(weighted)
                        .build();
        return new StreamOriginPolicy(route, resumption);
    }

    private static Either<String, StreamStart> start(
            StreamOriginPolicy policy, Option<SoftwareVersion> selectable) {
        return policy.beforeReservation(SERVICE, () -> selectable, () -> Set.of(OLD, NEW));
    }

    private static StreamOrigin origin(ServiceName service, SoftwareVersion version, int attempt) {
        return new StreamOrigin(service, version, attempt);
    }

    private static EndpointRecord endpoint(SoftwareVersion version) {
        return new EndpointRecord(
                new EndpointId("e"),
                SERVICE,
                new Address("10.0.0.1", 80),
                new AvailabilityZone("a"),
                1,
                false,
                0,
                version);
    }

    /** Calls that begin a stream. */
    public static final class Begins {
        private final StreamOriginPolicy policy =
                policy(CallSemantics.RESUMABLE_STREAM, Option.none(), "s");

        /** Guards against sending a stream to a version whose record is not durable. */
        @Test
        public void runsOnlyAtTheRecordedVersion() {
            StreamOriginPolicy own = policy(CallSemantics.RESUMABLE_STREAM, Option.none(), "s");
            StreamOrigin first = origin(SERVICE, OLD, 1);
            assertEquals(start(own, Option.some(OLD)), Either.right(new StreamStart.Begins(first)));
            assertFalse(own.allows(endpoint(OLD)));
            assertEquals(own.afterReservation(Option.some(first)), Option.none());
            assertTrue(own.allows(endpoint(OLD)));
            assertFalse(own.allows(endpoint(NEW)));
            assertEquals(own.restrict(REQUEST).version(), Option.some(OLD));
        }

        /** Guards against a later record that an earlier one could replace. */
        @Test
        public void laterRecordsHaveHigherAttempts() {
            StreamOriginPolicy own = policy(CallSemantics.RESUMABLE_STREAM, Option.none(), "s");
            start(own, Option.some(OLD));
            own.afterReservation(Option.some(origin(SERVICE, OLD, 1)));
            StreamOrigin second = origin(SERVICE, NEW, 2);
            assertEquals(own.claim(SERVICE, NEW), new StreamStart.Begins(second));
            assertEquals(own.afterReservation(Option.some(second)), Option.none());
            assertTrue(own.allows(endpoint(NEW)));
        }

        /** Guards against another version without a durable record of it. */
        @Test
        public void unconfirmedOtherVersionIsRefused() {
            StreamOriginPolicy own = policy(CallSemantics.RESUMABLE_STREAM, Option.none(), "s");
            start(own, Option.some(OLD));
            own.afterReservation(Option.none());
            own.claim(SERVICE, NEW);
            assertTrue(own.afterReservation(Option.none()).isDefined());
            assertFalse(own.allows(endpoint(NEW)));
        }

        /** Guards against endless records for one call. */
        @Test
        public void recordsAreBounded() {
            int records = 0;
            while (policy.mayClaim()) {
                policy.claim(SERVICE, NEW);
                records++;
            }
            assertEquals(records, 4);
        }
    }

    /** Calls that resume a stream. */
    public static final class Resumes {
        private static final CallId FIRST = new CallId("first");
        private static final Option<Resumption> NAMED =
                Option.some(new Resumption(Option.some(FIRST)));
        private static final Option<Resumption> UNNAMED =
                Option.some(new Resumption(Option.none()));

        /** Guards against another service or version than that of the first call. */
        @Test
        public void serviceAndVersionAreThoseOfTheFirstCall() {
            StreamOriginPolicy own = policy(CallSemantics.RESUMABLE_STREAM, NAMED, "s", "other");
            assertEquals(
                    start(own, Option.some(NEW)), Either.right(new StreamStart.Resumes(FIRST)));
            ServiceName other = new ServiceName("other");
            own.afterReservation(Option.some(origin(other, OLD, 2)));
            assertEquals(own.restrict(REQUEST).service(), other);
            assertEquals(own.restrict(REQUEST).version(), Option.some(OLD));
            assertFalse(own.mayClaim());
        }

        /** Guards against a service to which the route no longer leads. */
        @Test
        public void serviceThatTheRouteHasLeftIsRefused() {
            StreamOriginPolicy own = policy(CallSemantics.RESUMABLE_STREAM, NAMED, "s");
            ServiceName left = new ServiceName("left");
            assertTrue(own.afterReservation(Option.some(origin(left, OLD, 1))).isDefined());
        }

        /** Guards against a stream that is resumed anywhere on a route that was resumable. */
        @Test
        public void routeThatIsNoLongerResumableKeepsTheVersion() {
            StreamOriginPolicy own = policy(CallSemantics.AT_MOST_ONCE_STREAM, NAMED, "s");
            assertEquals(
                    start(own, Option.some(NEW)), Either.right(new StreamStart.Resumes(FIRST)));
            assertTrue(own.afterReservation(Option.none()).isDefined());
        }

        /** Guards against a guess of the service when the first call is not named. */
        @Test
        public void unnamedStreamOfTwoServicesIsRefused() {
            StreamOriginPolicy own = policy(CallSemantics.RESUMABLE_STREAM, UNNAMED, "s", "other");
            assertTrue(
                    own.beforeReservation(SERVICE, () -> Option.some(OLD), () -> Set.of(OLD))
                            .isLeft());
        }
    }

    /** Calls without a resumable stream. */
    public static final class Untracked {
        /** Guards against records for calls that nobody can resume. */
        @Test
        public void otherRoutesRecordNothing() {
            for (CallSemantics semantics :
                    new CallSemantics[] {
                        CallSemantics.IDEMPOTENT, CallSemantics.AT_MOST_ONCE_STREAM
                    }) {
                StreamOriginPolicy own = policy(semantics, Option.none(), "s");
                assertEquals(start(own, Option.some(OLD)), Either.right(UNTRACKED));
                assertTrue(own.allows(endpoint(NEW)));
                assertFalse(own.mayClaim());
            }
        }

        /** Guards against refusing a plain call that carries the header of a resumed stream. */
        @Test
        public void headerIsIgnoredWithoutAStream() {
            StreamOriginPolicy own =
                    policy(
                            CallSemantics.IDEMPOTENT,
                            Option.some(new Resumption(Option.none())),
                            "s");
            assertEquals(start(own, Option.some(OLD)), Either.right(UNTRACKED));
        }
    }
}
