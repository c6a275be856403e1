package org.tamarackfold.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.Base64;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.tamarackfold.errors.ExecutionStatus;
import org.tamarackfold.errors.Failure;
import org.tamarackfold.keyvalue.KeyValueService;
import org.tamarackfold.metrics.HostMetrics;
import org.tamarackfold.standin.http.ScriptedEndpoint;
import org.tamarackfold.standin.http.ScriptedEndpoint.Step;
import org.tamarackfold.transport.IoRuntime;
import org.tamarackfold.transport.PooledHttpClient;
import org.tamarackfold.transport.ResponseForms;
import org.tamarackfold.transport.ResponseForms.Form;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Responses of the platform's key-value service that the client cannot read. */
public final class StoreResponsesTest {
    private StoreResponsesTest() {}

    private static final int NESTING = 100_000;
    private static final Duration WAIT = Duration.ofMillis(500);

    private static String item(String value, String revision) {
        return "{\"key\":\"servers/i-1\",\"value\":" + value + ",\"revision\":" + revision + "}";
    }

    private static String nested(int levels) {
        return "[".repeat(levels) + "]".repeat(levels);
    }

    /** Returns items that the client cannot read. */
    @DataProvider
    public static Object[][] items() {
        return Stream.of(
                        nested(NESTING),
                        nested(300),
                        "null",
                        item(nested(NESTING), "1"),
                        item(nested(300), "1"),
                        item("\"not base64\"", "1"),
                        item("\"AA==\"", "1e999"),
                        item("\"AA==\"", "1" + "0".repeat(40)),
                        item("\"AA==\"", "9".repeat(1_000)),
                        item("\"AA==\"", "\"1\""))
                .map(item -> new Object[] {item})
                .toArray(Object[][]::new);
    }

    /** A client whose service sends scripted responses. */
    abstract static class Fixture {
        private IoRuntime runtime;
        private ScriptedEndpoint store;
        KeyValueService client;

        /** Starts the service. */
        @BeforeMethod
        public void start() throws IOException {
            runtime = IoRuntime.start(1);
            store = new ScriptedEndpoint();
            PooledHttpClient http = new PooledHttpClient(runtime, Duration.ofSeconds(4).toNanos());
            client = new HttpKeyValueService(http, store.address(), new HostMetrics());
        }

        /** Stops the service. */
        @AfterMethod(alwaysRun = true)
        public void stop() {
            store.close();
            runtime.stop();
        }

        void respond(String body) {
            store.respond("200 OK", "Content-Type: application/json", body);
        }

        void respondWith(Form form) {
            store.respond(new Step.Send(form.with("")), new Step.Pause(3_000));
        }

        static <T> Either<Failure, T> await(CompletableFuture<Either<Failure, T>> result)
                throws Exception {
            return result.get(3, TimeUnit.SECONDS);
        }
    }

    /** Single items that cannot be read. */
    public static final class Items extends Fixture {
        /** Guards against a result that never arrives, so that the list is not asked for again. */
        @Test(dataProvider = "items", dataProviderClass = StoreResponsesTest.class)
        public void aListingFails(String item) throws Exception {
            respond("{\"items\":[" + item + "],\"truncated\":false,\"asOf\":7}");
            assertTrue(await(client.list("")).isLeft());
            respond("{\"items\":[" + item("\"AA==\"", "3") + "],\"asOf\":7}");
            assertEquals(await(client.list("")).get().items().size(), 1);
        }

        /** Guards against a watch that ends without a result. */
        @Test(dataProvider = "items", dataProviderClass = StoreResponsesTest.class)
        public void aWatchFails(String item) throws Exception {
            respond("{\"events\":[" + item + "],\"asOf\":7}");
            assertTrue(await(client.watch("", 1, WAIT)).isLeft());
            respond("{\"events\":[" + item("\"AA==\"", "3") + "],\"asOf\":7}");
            assertTrue(await(client.watch("", 1, WAIT)).isRight());
        }
    }

    /** Responses outside of the grammar of HTTP. */
    public static final class MalformedHeads extends Fixture {
        /** Guards against a lease that counts as renewed because of bytes that are no response. */
        @Test(dataProvider = "malformedHeads", dataProviderClass = ResponseForms.class)
        public void aRenewalFails(Form form) throws Exception {
            respondWith(form);
            Failure failure = await(client.renewLease(1)).getLeft();
            assertEquals(failure.executionStatus(), ExecutionStatus.UNKNOWN);
        }

        /** Guards against a malformed response that is read to its end as if it were sound. */
        @Test(dataProvider = "malformedChunks", dataProviderClass = ResponseForms.class)
        public void aRenewalWithMalformedChunksFails(Form form) throws Exception {
            respondWith(form);
            assertTrue(await(client.renewLease(1)).isLeft());
        }

        /** Guards against failing the renewals that a sound service answers. */
        @Test(dataProvider = "soundResponses", dataProviderClass = ResponseForms.class)
        public void aRenewalSucceeds(Form form) throws Exception {
            respondWith(form);
            assertTrue(await(client.renewLease(1)).get());
        }
    }

    /** Values of another writer, which the service encodes as text. */
    public static final class Values extends Fixture {
        /** Guards against a listing that fails because of the size or content of one value. */
        @Test
        public void anyBytesAreRead() throws Exception {
            byte[] value = nested(500_000).getBytes(java.nio.charset.StandardCharsets.UTF_8);
            String encoded = "\"" + Base64.getEncoder().encodeToString(value) + "\"";
            respond("{\"items\":[" + item(encoded, "3") + "],\"asOf\":7}");
            KeyValueService.Listing listing = await(client.list("")).get();
            assertEquals(listing.items().head().value(), value);
        }

        /** Guards against an empty value that is taken for a malformed one. */
        @Test
        public void emptyValuesAreRead() throws Exception {
            respond("{\"items\":[" + item("\"\"", "3") + "],\"asOf\":7}");
            assertEquals(await(client.list("")).get().items().head().value().length, 0);
        }
    }
}
