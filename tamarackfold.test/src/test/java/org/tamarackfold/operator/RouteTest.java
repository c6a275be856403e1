package org.tamarackfold.operator;

import static org.testng.Assert.assertEquals;

import org.tamarackfold.id.RouteName;
import org.testng.annotations.Test;

/** Defaults of a route. */
public final class RouteTest {
    private RouteTest() {}

    /** Routes that do not set the maximum number of attempts. */
    public static final class DefaultAttempts {
        private static int defaultAttempts(CallSemantics callSemantics) {
            return Route.builder()
                    .name(new RouteName("r"))
                    .host("h.example")
                    .prefix("/r/")
                    .callSemantics(callSemantics)
                    .build()
                    .maximumAttempts();
        }

        /** Guards against a retry that runs an at-most-once call twice. */
        @Test
        public void atMostOnceCallIsNotRetried() {
            assertEquals(defaultAttempts(CallSemantics.AT_MOST_ONCE), 1);
            assertEquals(defaultAttempts(CallSemantics.AT_MOST_ONCE_STREAM), 1);
        }

        /** Guards against an idempotent call that fails with the first failing endpoint. */
        @Test
        public void idempotentCallIsRetried() {
            assertEquals(defaultAttempts(CallSemantics.IDEMPOTENT), 3);
        }
    }
}
