package org.tamarackfold.operator;

import static org.testng.Assert.assertEquals;

import org.tamarackfold.id.RouteName;
import org.testng.annotations.Test;

/** Defaults of a route. */
public final class RouteTest {
    private RouteTest() {}

    /** Routes that do not set the maximum number of attempts. */
    public static final class DefaultAttempts {
        private static int defaultAttempts(Repeatability repeatability) {
            return Route.builder()
                    .name(new RouteName("r"))
                    .host("h.example")
                    .prefix("/r/")
                    .repeatability(repeatability)
                    .build()
                    .maximumAttempts();
        }

        /** Guards against a retry that runs an at-most-once call twice. */
        @Test
        public void atMostOnceCallIsNotRetried() {
            assertEquals(defaultAttempts(Repeatability.AT_MOST_ONCE), 1);
            assertEquals(defaultAttempts(Repeatability.AT_MOST_ONCE_STREAM), 1);
        }

        /** Guards against an idempotent call that fails with the first failing endpoint. */
        @Test
        public void idempotentCallIsRetried() {
            assertEquals(defaultAttempts(Repeatability.IDEMPOTENT), 3);
        }
    }
}
