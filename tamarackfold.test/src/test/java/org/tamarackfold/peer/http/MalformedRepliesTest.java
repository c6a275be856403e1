package org.tamarackfold.peer.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.tamarackfold.metrics.HostMetrics;
import org.tamarackfold.standin.http.ScriptedEndpoint;
import org.tamarackfold.standin.http.ScriptedEndpoint.Step;
import org.tamarackfold.transport.IoRuntime;
import org.tamarackfold.transport.PooledHttpClient;
import org.tamarackfold.transport.ResponseForms;
import org.tamarackfold.transport.ResponseForms.Form;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Replies of other hosts that are outside of the grammar of HTTP. */
public final class MalformedRepliesTest {
    private MalformedRepliesTest() {}

    /** A host that replies with scripted bytes. */
    abstract static class Fixture {
        /** Longer than a malformed reply may take to be noticed. */
        private static final Duration TIMEOUT = Duration.ofSeconds(2);

        private IoRuntime runtime;
        private ScriptedEndpoint host;
        private EntryHostMessages messages;

        /** Starts the host. */
        @BeforeMethod
        public void start() throws IOException {
            runtime = IoRuntime.start(1);
            host = new ScriptedEndpoint();
            messages =
                    new EntryHostMessages(
                            new PooledHttpClient(runtime, Duration.ofSeconds(4).toNanos()),
                            new HostMetrics());
        }

        /** Stops the host. */
        @AfterMethod(alwaysRun = true)
        public void stop() {
            host.close();
            runtime.stop();
        }

        Either<String, byte[]> replyTo(Form form) throws Exception {
            host.respond(new Step.Send(form.with("")), new Step.Pause(5_000));
            return messages.send(host.address(), "/path", new byte[0], TIMEOUT)
                    .get(2 * TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    /** Messages between entry hosts. */
    public static final class Messages extends Fixture {
        private void assertMalformed(Form form) throws Exception {
            Either<String, byte[]> reply = replyTo(form);
            assertTrue(reply.isLeft() && reply.getLeft().startsWith("Malformed"), "" + reply);
        }

        /** Guards against a message that is decoded from bytes that are no response. */
        @Test(dataProvider = "malformedHeads", dataProviderClass = ResponseForms.class)
        public void malformedHeadIsNoReply(Form form) throws Exception {
            assertMalformed(form);
        }

        /** Guards against a message that ends elsewhere than its sender has ended it. */
        @Test(dataProvider = "malformedChunks", dataProviderClass = ResponseForms.class)
        public void malformedChunksAreNoReply(Form form) throws Exception {
            assertMalformed(form);
        }

        /** Guards against failing the replies of sound hosts. */
        @Test(dataProvider = "soundResponses", dataProviderClass = ResponseForms.class)
        public void soundReplyArrives(Form form) throws Exception {
            assertEquals(new String(replyTo(form).get(), StandardCharsets.US_ASCII), "hello");
        }
    }
}
