package org.tamarackfold.caller;

import static org.testng.Assert.assertEquals;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.tamarackfold.id.RouteName;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.operator.Repeatability;
import org.tamarackfold.operator.Route;
import org.tamarackfold.operator.WeightedService;
import org.testng.annotations.Test;

/** Which calls go to another endpoint. */
public final class RetryPolicyTest {
    private RetryPolicyTest() {}

    private static final AttemptOutcome FULL =
            new AttemptOutcome.Rejected(AttemptOutcome.Cause.FULL);
    private static final AttemptOutcome UNKNOWN = new AttemptOutcome.Unknown();
    private static final RetryDecision TRY_ANOTHER = new RetryDecision.Retry();
    private static final RetryDecision REPORT_UNKNOWN = new RetryDecision.ReportUnknown();
    private static final RetryDecision REFUSE = new RetryDecision.Refuse();
    private static final RetryDecision RELAY = new RetryDecision.RelayResponse();

    private static RetryPolicy policy(Repeatability repeatability, int attempts) {
        return new RetryPolicy(
                Route.builder()
                        .name(new RouteName("r"))
                        .host("h")
                        .prefix("/")
                        .repeatability(repeatability)
                        .services(Vector.of(new WeightedService(new ServiceName("s"), 1)))
                        .maximumAttempts(Option.some(attempts))
                        .build());
    }

    /** Calls that run at most once. */
    public static final class AtMostOnce {
        /** Guards against a second run of a call whose answer was lost. */
        @Test
        public void neverRepeatedOnceItMayHaveRun() {
            assertEquals(policy(Repeatability.AT_MOST_ONCE, 3).after(UNKNOWN), REPORT_UNKNOWN);
        }

        /** Guards against a second run of a call that an endpoint answered with an error. */
        @Test
        public void errorOfTheEndpointIsRelayed() {
            RetryPolicy policy = policy(Repeatability.AT_MOST_ONCE, 3);
            assertEquals(policy.after(new AttemptOutcome.Answered(500)), RELAY);
        }

        /** Guards against giving up a call that no endpoint has run. */
        @Test
        public void rejectionLeadsToAnotherEndpoint() {
            assertEquals(policy(Repeatability.AT_MOST_ONCE, 1).after(FULL), TRY_ANOTHER);
        }

        /** Guards against a refusal that claims "not run" for a call that may have run. */
        @Test
        public void refusedOnlyWhileNoEndpointMayHaveRunIt() {
            assertEquals(policy(Repeatability.AT_MOST_ONCE, 1).whenNoEndpointLeft(), REFUSE);
            RetryPolicy ran = policy(Repeatability.AT_MOST_ONCE, 1);
            ran.after(UNKNOWN);
            assertEquals(ran.whenNoEndpointLeft(), REPORT_UNKNOWN);
        }

        /** Guards against a call that goes round all full endpoints until its deadline. */
        @Test
        public void rejectionsAreBounded() {
            RetryPolicy policy = policy(Repeatability.AT_MOST_ONCE, 1);
            RetryDecision last = TRY_ANOTHER;
            int rejections = 0;
            while (last.equals(TRY_ANOTHER) && rejections < 100) {
                last = policy.after(FULL);
                rejections++;
            }
            assertEquals(last, REFUSE);
        }
    }

    /** Calls that may run again. */
    public static final class Idempotent {
        /** Guards against more runs than the route allows. */
        @Test
        public void runsAtMostAsOftenAsTheRouteAllows() {
            RetryPolicy policy = policy(Repeatability.IDEMPOTENT, 2);
            assertEquals(policy.after(UNKNOWN), TRY_ANOTHER);
            assertEquals(policy.after(UNKNOWN), REPORT_UNKNOWN);
        }

        /** Guards against relaying an error while another endpoint may answer. */
        @Test
        public void errorOfTheEndpointIsRetriedOnce() {
            RetryPolicy policy = policy(Repeatability.IDEMPOTENT, 2);
            assertEquals(policy.after(new AttemptOutcome.Answered(500)), TRY_ANOTHER);
            assertEquals(policy.after(new AttemptOutcome.Answered(500)), RELAY);
        }

        /** Guards against retrying errors of the caller. */
        @Test
        public void errorOfTheCallerIsRelayed() {
            RetryPolicy policy = policy(Repeatability.IDEMPOTENT, 2);
            assertEquals(policy.after(new AttemptOutcome.Answered(404)), RELAY);
        }
    }
}
