package org.tamarackfold.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.tamarackfold.id.RouteName;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.operator.CallSemantics;
import org.tamarackfold.operator.Route;
import org.tamarackfold.operator.WeightedService;
import org.testng.annotations.Test;

/** Which calls are retried at another endpoint, depending on their route and outcome. */
public final class RetryPolicyTest {
    private RetryPolicyTest() {}

    private static final AttemptOutcome FULL =
            new AttemptOutcome.Rejected(AttemptOutcome.Cause.FULL);
    private static final AttemptOutcome UNKNOWN = new AttemptOutcome.Unknown();
    private static final RetryDecision RETRY = new RetryDecision.Retry();
    private static final RetryDecision REPORT_UNKNOWN = new RetryDecision.ReportUnknown();
    private static final RetryDecision REFUSE = new RetryDecision.Refuse();
    private static final RetryDecision RELAY_RESPONSE = new RetryDecision.RelayResponse();

    private static RetryPolicy policy(CallSemantics callSemantics, int maximumAttempts) {
        return new RetryPolicy(
                Route.builder()
                        .name(new RouteName("r"))
                        .host("h")
                        .prefix("/")
                        .callSemantics(callSemantics)
                        .services(Vector.of(new WeightedService(new ServiceName("s"), 1)))
                        .maximumAttempts(Option.some(maximumAttempts))
                        .build());
    }

    /** Routes whose calls run at most once. */
    public static final class AtMostOnce {
        /** Guards against a second run of a call whose response was lost. */
        @Test
        public void isNotRetriedAfterUnknownOutcome() {
            assertEquals(policy(CallSemantics.AT_MOST_ONCE, 3).after(UNKNOWN), REPORT_UNKNOWN);
        }

        /**
         * Guards against a second run of a call that an endpoint ran and answered with an error.
         */
        @Test
        public void serverErrorIsRelayed() {
            RetryPolicy policy = policy(CallSemantics.AT_MOST_ONCE, 3);
            assertEquals(policy.after(new AttemptOutcome.Answered(500)), RELAY_RESPONSE);
        }

        /** Guards against failing a call that no endpoint has run while others are left. */
        @Test
        public void isRetriedAfterRejection() {
            assertEquals(policy(CallSemantics.AT_MOST_ONCE, 1).after(FULL), RETRY);
        }

        /** Guards against a call that is asked of host after host without end. */
        @Test
        public void isRetriedThreeTimesWhenOtherHostsDoNotTakeIt() {
            RetryPolicy policy = policy(CallSemantics.AT_MOST_ONCE, 1);
            for (int i = 0; i < 3; i++) {
                assertEquals(policy.after(new AttemptOutcome.NotForwarded()), RETRY);
            }
            assertEquals(policy.after(new AttemptOutcome.NotForwarded()), REFUSE);
        }

        /** Guards against giving up a call whose response may still come, without a retry. */
        @Test
        public void isNotRetriedWhileItsResponseMayCome() {
            assertFalse(policy(CallSemantics.AT_MOST_ONCE, 3).mayRetryUnanswered());
            assertFalse(policy(CallSemantics.IDEMPOTENT, 1).mayRetryUnanswered());
            assertTrue(policy(CallSemantics.IDEMPOTENT, 2).mayRetryUnanswered());
        }

        /** Guards against telling the caller that a call has not run although it may have run. */
        @Test
        public void isRefusedOnlyIfNoEndpointMayHaveRunIt() {
            assertEquals(policy(CallSemantics.AT_MOST_ONCE, 1).whenNoFurtherAttempt(), REFUSE);
            RetryPolicy policyAfterUnknown = policy(CallSemantics.AT_MOST_ONCE, 1);
            policyAfterUnknown.after(UNKNOWN);
            assertEquals(policyAfterUnknown.whenNoFurtherAttempt(), REPORT_UNKNOWN);
        }

        /** Guards against retrying at one full endpoint after another until the deadline. */
        @Test
        public void retriesAfterRejectionsAreLimited() {
            RetryPolicy policy = policy(CallSemantics.AT_MOST_ONCE, 1);
            RetryDecision decision = RETRY;
            int rejections = 0;
            while (decision.equals(RETRY) && rejections < 100) {
                decision = policy.after(FULL);
                rejections++;
            }
            assertEquals(decision, REFUSE);
        }
    }

    /** Routes whose calls may run more than once. */
    public static final class Idempotent {
        /** Guards against more runs than the route allows. */
        @Test
        public void retriesAreLimitedByTheRoute() {
            RetryPolicy policy = policy(CallSemantics.IDEMPOTENT, 2);
            assertEquals(policy.after(UNKNOWN), RETRY);
            assertEquals(policy.after(UNKNOWN), REPORT_UNKNOWN);
        }

        /** Guards against relaying a server error while another endpoint may succeed. */
        @Test
        public void serverErrorIsRetriedOnce() {
            RetryPolicy policy = policy(CallSemantics.IDEMPOTENT, 2);
            assertEquals(policy.after(new AttemptOutcome.Answered(500)), RETRY);
            assertEquals(policy.after(new AttemptOutcome.Answered(500)), RELAY_RESPONSE);
        }

        /** Guards against retrying a client error (4xx). */
        @Test
        public void clientErrorIsRelayed() {
            RetryPolicy policy = policy(CallSemantics.IDEMPOTENT, 2);
            assertEquals(policy.after(new AttemptOutcome.Answered(404)), RELAY_RESPONSE);
        }
    }
}
