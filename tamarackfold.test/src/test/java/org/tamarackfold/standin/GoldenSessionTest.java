package org.tamarackfold.standin;

import static org.testng.Assert.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.tamarackfold.standin.http.DemoSession;
import org.testng.annotations.Test;

/** Whole sessions over real hosts on loopback, compared with recorded transcripts. */
public final class GoldenSessionTest {
    private GoldenSessionTest() {}

    private static final boolean REWRITE = Boolean.getBoolean("tamarackfold.golden.rewrite");
    private static final Path SOURCES = Path.of("src/test/resources/golden");

    private static String golden(String name, String actual) throws IOException {
        if (REWRITE) {
            Files.writeString(SOURCES.resolve(name), actual);
        }
        try (InputStream in = GoldenSessionTest.class.getResourceAsStream("/golden/" + name)) {
            return REWRITE ? actual : new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** The demo. */
    public static final class Demo {
        /** Guards against any change of what callers see from the first call to the last. */
        @Test
        public void transcriptIsAsRecorded() throws Exception {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            DemoSession.run(
                    new PrintStream(out, true, StandardCharsets.UTF_8),
                    Files.createTempDirectory("golden"));
            String actual = out.toString(StandardCharsets.UTF_8);
            assertEquals(actual, golden("demo-session.txt", actual));
        }
    }
}
