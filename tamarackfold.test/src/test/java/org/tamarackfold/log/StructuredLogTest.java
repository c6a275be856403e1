package org.tamarackfold.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Lines whose values come from other programs. */
public final class StructuredLogTest {
    private StructuredLogTest() {}

    /** Collects the lines of one component. */
    abstract static class Fixture {
        private static final StructuredLog LOG = StructuredLog.of("structured-log-test");
        private final List<String> lines = new ArrayList<>();
        private final Handler handler =
                new Handler() {
                    @Override
                    public void publish(LogRecord logRecord) {
                        lines.add(logRecord.getMessage());
                    }

                    @Override
                    public void flush() {}

                    @Override
                    public void close() {}
                };

        private static Logger logger() {
            return Logger.getLogger("tamarackfold.structured-log-test");
        }

        /** Attaches the handler. */
        @BeforeMethod
        public void attach() {
            lines.clear();
            logger().addHandler(handler);
        }

        /** Detaches the handler. */
        @AfterMethod(alwaysRun = true)
        public void detach() {
            logger().removeHandler(handler);
        }

        String line(String value) {
            LOG.event("read").with("value", value).warn();
            return lines.getLast();
        }
    }

    /** Values that would make a line hard to read or to keep. */
    public static final class Values extends Fixture {
        /** Guards against a queue of log lines that uses up the memory of the process. */
        @Test
        public void longValuesAreCut() {
            String line = line("x".repeat(1_000_000));
            assertTrue(line.length() < 700, "line of " + line.length() + " characters");
            assertTrue(line.endsWith("... (1000000 characters)\""), line);
        }

        /** Guards against a value that ends its line and begins another one. */
        @Test
        public void controlCharactersBecomeSpaces() {
            assertEquals(
                    line("a\nhost: event=ended\r\u001b[0m"),
                    "structured-log-test: event=read value=\"a host: event=ended  [0m\"");
        }

        /** Guards against a change of ordinary values. */
        @Test
        public void otherValuesAreUnchanged() {
            String id = "i-".repeat(250);
            assertEquals(line(id), "structured-log-test: event=read value=" + id);
        }
    }
}
