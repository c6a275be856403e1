package org.tamarackfold.node.runtime;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.collection.Vector;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tamarackfold.endpoint.EndpointRegistry;
import org.tamarackfold.endpoint.EndpointTable;
import org.tamarackfold.endpoint.EndpointTables;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.keyvalue.KeyValueService;
import org.tamarackfold.keyvalue.PrefixDispatcher;
import org.tamarackfold.keyvalue.PrefixWatcher;
import org.tamarackfold.keyvalue.WatchTiming;
import org.tamarackfold.platform.FleetAdapter;
import org.tamarackfold.standin.MemoryKeyValueService;
import org.tamarackfold.standin.VirtualScheduler;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Registrations of another writer among those of endpoints: the host uses every other endpoint and
 * keeps following the registrations.
 */
public final class MalformedRegistrationsTest {
    private MalformedRegistrationsTest() {}

    private static final String SOUND =
            "{\"service\":\"s1\",\"address\":\"10.1.0.9:8080\",\"zone\":\"a\",\"version\":\"v1\","
                    + "\"slots\":12,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":4,"
                    + "\"born\":1700000000000}";

    /** Nesting that overflows the stack of a parser without a limit. */
    private static final int NESTING = 100_000;

    private static final int LONG_TEXT_CHARACTERS = 1_000_000;

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static Object[] row(String name, String text) {
        return new Object[] {name, utf8(text)};
    }

    private static Object[] replaced(String name, String field, String value) {
        String text =
                SOUND.replaceAll("\"" + field + "\":(\"[^\"]*\"|\\d+)", "\"" + field + "\":@");
        return row(field + ": " + name, text.replace("@", value));
    }

    private static String nested(int levels) {
        return "[".repeat(levels) + "]".repeat(levels);
    }

    private static Stream<Object[]> oddNumbers(String field) {
        return Stream.of(
                replaced("beyond a double", field, "1e999"),
                replaced("exponent of nine digits", field, "1e999999999"),
                replaced("beyond a long", field, "1" + "0".repeat(40)),
                replaced("a thousand digits", field, "9".repeat(1_000)),
                replaced("a hundred thousand digits", field, "9".repeat(100_000)),
                replaced("text", field, "\"7\""),
                replaced("null", field, "null"),
                replaced("nested", field, nested(300)),
                replaced("deeply nested", field, nested(NESTING)));
    }

    private static Stream<Object[]> oddTexts(String field) {
        return Stream.of(
                replaced("number", field, "1e999"),
                replaced("long", field, "\"" + "x".repeat(LONG_TEXT_CHARACTERS) + "\""),
                replaced("nested", field, nested(300)),
                replaced("deeply nested", field, nested(NESTING)));
    }

    private static Stream<Object[]> oddAddresses() {
        return Stream.of(
                        "10.0.0.1:0",
                        "10.0.0.1:65536",
                        "10.0.0.1:-1",
                        "10.0.0.1:x",
                        "10.0.0.1:",
                        "10.0.0.1:99999999999999999999",
                        ":80",
                        "10.0.0.1",
                        "")
                .map(address -> replaced(address, "address", "\"" + address + "\""));
    }

    private static Stream<Object[]> oddDocuments() {
        byte[] invalidUtf8 = utf8(SOUND);
        invalidUtf8[SOUND.indexOf("s1")] = (byte) 0xff;
        return Stream.of(
                row("empty", ""),
                row("null", "null"),
                row("number", "1e999"),
                row("long number", "9".repeat(LONG_TEXT_CHARACTERS)),
                row("deeply nested arrays", nested(NESTING)),
                row("unclosed objects", "{\"a\":".repeat(NESTING)),
                row("unused field", SOUND.replace("{", "{\"x\":" + nested(NESTING) + ",")),
                row("state twice", SOUND.replace("{", "{\"state\":\"draining\",")),
                row("slots zero", SOUND.replace("\"slots\":12", "\"slots\":0")),
                row("slots negative", SOUND.replace("\"slots\":12", "\"slots\":-12")),
                row("born a fraction", SOUND.replace("1700000000000", "1700000000000.5")),
                row("long field name", "{\"" + "x".repeat(LONG_TEXT_CHARACTERS) + "\":1}"),
                row("lines", replaceService("a\\nb\\nc")),
                new Object[] {"no UTF-8", invalidUtf8},
                new Object[] {"UTF-32 mark", new byte[] {0, 0, (byte) 0xfe, (byte) 0xff, 1, 2, 3}},
                new Object[] {"zeros", new byte[LONG_TEXT_CHARACTERS]});
    }

    private static String replaceService(String name) {
        return SOUND.replace("\"s1\"", "\"" + name + "\"");
    }

    /** Returns names and values of registrations that name no endpoint. */
    @DataProvider
    public static Object[][] values() {
        return Stream.of(
                        oddDocuments(),
                        oddAddresses(),
                        Stream.of("slots", "sequence", "coldRemainingMs", "born")
                                .flatMap(MalformedRegistrationsTest::oddNumbers),
                        Stream.of("service", "address", "zone", "version", "state")
                                .flatMap(MalformedRegistrationsTest::oddTexts))
                .flatMap(rows -> rows)
                .toArray(Object[][]::new);
    }

    /** Returns keys under the prefix of the registrations that end with no endpoint id. */
    @DataProvider
    public static Object[][] keys() {
        return Stream.of("servers/", "servers/i 2", "servers/i-1/x", "servers/" + "i".repeat(190))
                .map(key -> new Object[] {key})
                .toArray(Object[][]::new);
    }

    /** A host that follows the registrations of the platform under virtual time. */
    abstract static class Fixture {
        private static final WatchTiming TIMING =
                new WatchTiming(Duration.ofSeconds(3), Duration.ofMillis(50));

        final List<String> logLines = new ArrayList<>();
        private final Handler logHandler = new LineCollector(logLines);
        MemoryKeyValueService service;
        EndpointTable endpoints;
        EndpointListener listener;
        private VirtualScheduler scheduler;

        /** Creates an empty service. */
        @BeforeMethod
        public void createService() {
            scheduler = new VirtualScheduler();
            service = new MemoryKeyValueService(scheduler);
            endpoints = EndpointTables.ofSingleHost();
            logLines.clear();
            Logger.getLogger("tamarackfold.endpoint").addHandler(logHandler);
        }

        /** Detaches the log handler. */
        @AfterMethod(alwaysRun = true)
        public void detachLog() {
            Logger.getLogger("tamarackfold.endpoint").removeHandler(logHandler);
        }

        void startHost() {
            FleetAdapter adapter = new FleetAdapter();
            listener = new EndpointListener(adapter, new EndpointRegistry(endpoints, scheduler));
            PrefixDispatcher dispatcher =
                    new PrefixDispatcher().add(adapter.endpointPrefix(), listener);
            new PrefixWatcher(service, "", dispatcher, () -> TIMING, scheduler, new Random(2))
                    .start();
            scheduler.advance(Duration.ofMillis(200));
        }

        void write(String key, byte[] value) {
            KeyValueService.Put put = new KeyValueService.Put(key, value, 0);
            service.write(Vector.empty(), Vector.of(put), Vector.empty());
            scheduler.advance(Duration.ofMillis(200));
        }

        void register(String... ids) {
            for (String id : ids) {
                write("servers/" + id, utf8(SOUND));
            }
        }

        void assertKnown(String... ids) {
            Set<EndpointId> expected =
                    Stream.of(ids).map(EndpointId::new).collect(Collectors.toSet());
            assertEquals(endpoints.ids(), expected);
        }

        /** Checks that one line at least reports the registration, and that none is long. */
        void assertReported() {
            List<String> reports =
                    logLines.stream().filter(line -> line.contains("_malformed")).toList();
            assertTrue(!reports.isEmpty(), "not reported");
            for (String line : reports) {
                assertTrue(line.length() < 2_000, "line of " + line.length() + " characters");
                assertTrue(line.indexOf('\n') < 0, "line break in " + line);
            }
        }
    }

    private static final class LineCollector extends Handler {
        private final List<String> lines;

        private LineCollector(List<String> lines) {
            this.lines = lines;
        }

        @Override
        public void publish(LogRecord logRecord) {
            lines.add(logRecord.getMessage());
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    }

    /** The registration is there when the host starts. */
    public static final class Listed extends Fixture {
        /** Guards against a host that does not get ready, or lacks sound endpoints. */
        @Test(dataProvider = "values", dataProviderClass = MalformedRegistrationsTest.class)
        public void othersHold(String name, byte[] value) {
            register("i-1", "i-3");
            write("servers/i-2", value);
            startHost();
            assertTrue(listener.hasListing(), name);
            assertKnown("i-1", "i-3");
            assertReported();
            register("i-2", "i-4");
            assertKnown("i-1", "i-2", "i-3", "i-4");
        }

        /** Guards against a key without an endpoint id that hides all registrations. */
        @Test(dataProvider = "keys", dataProviderClass = MalformedRegistrationsTest.class)
        public void keysWithoutIdAreIgnored(String key) {
            register("i-1", "i-3");
            write(key, utf8(SOUND));
            startHost();
            assertTrue(listener.hasListing());
            assertKnown("i-1", "i-3");
            assertReported();
            register("i-2");
            assertKnown("i-1", "i-2", "i-3");
        }
    }

    /** The registration is written while the host runs. */
    public static final class Changed extends Fixture {
        /** Guards against a watch that ends, and against calls to the endpoint meanwhile. */
        @Test(dataProvider = "values", dataProviderClass = MalformedRegistrationsTest.class)
        public void othersHold(String name, byte[] value) {
            startHost();
            register("i-1", "i-2", "i-3");
            write("servers/i-2", value);
            assertKnown("i-1", "i-3");
            assertReported();
            register("i-4", "i-2");
            assertKnown("i-1", "i-2", "i-3", "i-4");
        }

        /** Guards against a key without an endpoint id that hides later changes. */
        @Test(dataProvider = "keys", dataProviderClass = MalformedRegistrationsTest.class)
        public void keysWithoutIdAreIgnored(String key) {
            startHost();
            register("i-1");
            write(key, utf8(SOUND));
            assertReported();
            service.write(Vector.empty(), Vector.empty(), Vector.of(key));
            register("i-2");
            assertKnown("i-1", "i-2");
        }
    }
}
