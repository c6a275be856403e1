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

/** Compares sessions against real hosts on loopback with recorded transcripts. */
public final class GoldenSessionTest {
    private GoldenSessionTest() {}

    private static final boolean REWRITE = Boolean.getBoolean("tamarackfold.golden.rewrite");
    private static final Path GOLDEN_SOURCES = Path.of("src/test/resources/golden");

    private static String recordedTranscript(String name, String actual) throws IOException {
        if (REWRITE) {
            Files.writeString(GOLDEN_SOURCES.resolve(name), actual);
        }
        try (InputStream in = GoldenSessionTest.class.getResourceAsStream("/golden/" + name)) {
            return REWRITE ? actual : new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** The session of the demo command. */
    public static final class Demo {
        /** Guards against unintended changes of the responses that callers receive. */
        @Test
        public void transcriptMatchesRecording() throws Exception {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            DemoSession session =
                    DemoSession.run(
                            new PrintStream(out, true, StandardCharsets.UTF_8),
                            Files.createTempDirectory("golden"));
            session.close();
            String actual = out.toString(StandardCharsets.UTF_8);
            assertEquals(actual, recordedTranscript("demo-session.txt", actual));
        }
    }
}
