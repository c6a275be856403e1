package org.tamarackfold.operator;

import static org.testng.Assert.assertEquals;

import org.tamarackfold.id.RouteName;
import org.testng.annotations.Test;

/** What a route allows where its release leaves it open. */
public final class RouteTest {
    private RouteTest() {}

    /** Routes that set no number of attempts. */
    public static final class DefaultAttempts {
        private static int attempts(Repeatability repeatability) {
            return Route.builder()
                    .name(new RouteName("r"))
                    .host("h.example")
                    .prefix("/r/")
                    .repeatability(repeatability)
                    .build()
                    .maximumAttempts();
        }

        /** Guards against a second run of a call that may run once. */
        @Test
        public void atMostOnceRunsAtOneEndpoint() {
            assertEquals(attempts(Repeatability.AT_MOST_ONCE), 1);
            assertEquals(attempts(Repeatability.AT_MOST_ONCE_STREAM), 1);
        }

        /** Guards against giving up an idempotent call with its first endpoint. */
        @Test
        public void idempotentRunsAtSeveral() {
            assertEquals(attempts(Repeatability.IDEMPOTENT), 3);
        }
    }
}
