package org.tamarackfold.transport;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.tamarackfold.id.Address;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.xnio.XnioIoThread;

/** Timeouts for opening connections. */
public final class ConnectionTimeoutTest {
    private ConnectionTimeoutTest() {}

    /** A client with one I/O thread, and a server socket. */
    abstract static class Fixture {
        IoRuntime runtime;
        PooledHttpClient client;
        ServerSocket server;

        /** Starts both. */
        @BeforeMethod
        public void start() throws IOException {
            runtime = IoRuntime.start(1);
            client = new PooledHttpClient(runtime, Duration.ofSeconds(4).toNanos());
            server = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"));
        }

        /** Ends both. */
        @AfterMethod(alwaysRun = true)
        public void stop() throws IOException {
            server.close();
            runtime.stop();
        }

        CompletableFuture<Boolean> test(Duration timeout) {
            CompletableFuture<Boolean> opened = new CompletableFuture<>();
            Address address = new Address("127.0.0.1", server.getLocalPort());
            client.testConnection(address, timeout, failure -> opened.complete(failure.isEmpty()));
            return opened;
        }
    }

    /** Threads that are busy while a connection is opened. */
    public static final class BusyThread extends Fixture {
        private static final long BUSY_MILLIS = 400;
        private static final Duration TIMEOUT = Duration.ofMillis(100);

        /** Guards against a busy host that takes its own delay for servers out of reach. */
        @Test
        public void connectionThatOpensMeanwhileHasNotTimedOut() throws Exception {
            CompletableFuture<Boolean> opened = new CompletableFuture<>();
            // The blocking task is queued behind the start of the attempt, before its result.
            runtime.ioThread()
                    .execute(
                            () -> {
                                test(TIMEOUT).thenAccept(opened::complete);
                                runtime.ioThread().execute(BusyThread::block);
                            });
            assertTrue(opened.get(5, TimeUnit.SECONDS));
        }

        /** Guards against a thread that has other tasks than to look at its connections. */
        @Test
        public void connectionThatOpensBeforeOtherTasksHasNotTimedOut() throws Exception {
            CompletableFuture<Boolean> opened = new CompletableFuture<>();
            XnioIoThread thread = runtime.ioThread();
            thread.execute(
                    () -> {
                        test(TIMEOUT).thenAccept(opened::complete);
                        thread.execute(BusyThread::block);
                        // Due with the timeout, and run after it.
                        thread.executeAfter(
                                BusyThread::block, TIMEOUT.toMillis() + 5, TimeUnit.MILLISECONDS);
                    });
            assertTrue(opened.get(5, TimeUnit.SECONDS));
        }

        private static void block() {
            try {
                Thread.sleep(BUSY_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Servers that cannot be reached. */
    public static final class Unreachable extends Fixture {
        /** Guards against a refused connection that counts as opened. */
        @Test
        public void refusedConnectionIsNotOpened() throws Exception {
            server.close();
            assertFalse(test(Duration.ofMillis(500)).get(5, TimeUnit.SECONDS));
        }
    }
}
