package org.tamarackfold.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.collection.Vector;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.ShardId;
import org.tamarackfold.peer.StoredRecord;
import org.tamarackfold.peer.disk.SegmentLog;
import org.testng.annotations.Test;

/** The start of a host process. */
public final class HostStartTest {
    private HostStartTest() {}

    /** The start fails after I/O threads have been created. */
    public static final class Failure {
        private static final int EXIT_START_FAILED = 1;
        private static final int HEAP_MEGABYTES = 24;
        private static final int TURN_BYTES = 100_000;
        private static final int TIMEOUT_SECONDS = 30;

        private static final String SETTINGS =
                """
                role = "storage"
                host = "storage-1"
                availability_zone = "a"
                adapter = "fleet"
                [listeners]
                peers = "127.0.0.1:1"
                metrics = "127.0.0.1:2"
                [key_value]
                address = "127.0.0.1:3"
                minimum_lease_ms = 1000
                [storage]
                folder = "%s"
                disk_mb = 300
                tolerated_losses = 1
                [shutdown]
                grace_s = 8
                [directory]
                time_to_live_ms = 1000
                """;

        private static void fillLog(Path folder) throws Exception {
            int turns = 2 * HEAP_MEGABYTES * 1_000_000 / TURN_BYTES;
            try (SegmentLog log = SegmentLog.open(folder, Long.MAX_VALUE)) {
                log.replay(logged -> {});
                log.start(Vector::empty);
                for (int i = 0; i < turns; i++) {
                    StoredRecord turn =
                            new StoredRecord.Turn(
                                    new CallId("turn-" + i), new byte[TURN_BYTES], Long.MAX_VALUE);
                    log.append(new ShardId(0), Vector.of(turn)).get(5, TimeUnit.SECONDS);
                }
            }
        }

        private static Process startHost(Path settings) throws Exception {
            String classPath =
                    System.getProperty(
                            "surefire.test.class.path", System.getProperty("java.class.path"));
            return new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                            "-Xmx" + HEAP_MEGABYTES + "m",
                            "-cp",
                            classPath,
                            HostDaemon.class.getName(),
                            settings.toString())
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                    .start();
        }

        /**
         * Guards against a process that neither serves nor ends, so that nobody starts it again:
         * the state does not fit into the heap, which is an error and no exception.
         */
        @Test
        public void processEndsWhenTheHeapIsTooSmall() throws Exception {
            Path folder = Files.createTempDirectory("host-start");
            fillLog(folder.resolve("data"));
            Path settings = folder.resolve("host.toml");
            Files.write(
                    settings,
                    SETTINGS.formatted(folder.resolve("data")).getBytes(StandardCharsets.UTF_8));
            Process process = startHost(settings);
            try {
                assertTrue(process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS), "still running");
                assertEquals(process.exitValue(), EXIT_START_FAILED);
            } finally {
                process.destroyForcibly();
            }
        }
    }
}
