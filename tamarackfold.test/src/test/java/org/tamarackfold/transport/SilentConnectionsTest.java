package org.tamarackfold.transport;

import static org.testng.Assert.assertTrue;

import io.undertow.util.HttpString;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.tamarackfold.id.Address;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Open connections that go silent without a reset, while new ones work. */
public final class SilentConnectionsTest {
    private SilentConnectionsTest() {}

    /** Several idle connections to one server. */
    public static final class IdleConnections {
        private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(400);
        private static final int CONNECTIONS = 3;
        private static final byte[] RESPONSE =
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

        private final AtomicInteger accepted = new AtomicInteger();

        /** Connections up to this number are silent. */
        private volatile int silentConnections;

        private IoRuntime runtime;
        private PooledHttpClient client;
        private ServerSocket server;

        /** Starts the client and the server. */
        @BeforeMethod
        public void start() throws IOException {
            runtime = IoRuntime.start(1);
            client = new PooledHttpClient(runtime, Duration.ofSeconds(4).toNanos());
            server = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"));
            Thread.ofVirtual().start(this::accept);
        }

        /** Ends both. */
        @AfterMethod(alwaysRun = true)
        public void stop() throws IOException {
            server.close();
            runtime.stop();
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = server.accept();
                    int number = accepted.incrementAndGet();
                    Thread.ofVirtual().start(() -> serve(socket, number));
                }
            } catch (IOException e) {
                // The test has closed the server.
                return;
            }
        }

        private void serve(Socket socket, int number) {
            try (socket) {
                InputStream in = socket.getInputStream();
                byte[] request = new byte[4_096];
                while (in.read(request) >= 0) {
                    if (number > silentConnections) {
                        socket.getOutputStream().write(RESPONSE);
                    }
                }
            } catch (IOException e) {
                // The client has closed the connection.
                return;
            }
        }

        private CompletableFuture<Boolean> request() {
            CompletableFuture<Boolean> answered = new CompletableFuture<>();
            HttpRequest request =
                    HttpRequest.builder()
                            .address(new Address("127.0.0.1", server.getLocalPort()))
                            .method(new HttpString("GET"))
                            .path("/")
                            .connectTimeout(Duration.ofSeconds(1))
                            .responseTimeout(RESPONSE_TIMEOUT)
                            .build();
            client.send(
                    request,
                    new ResponseCollector(result -> answered.complete(isAnswered(result))));
            return answered;
        }

        private static boolean isAnswered(
                Either<TransportFailure, ResponseCollector.Response> result) {
            return result.isRight();
        }

        /**
         * Guards against a watch of the key-value service that is repeated on one silent connection
         * after the other, each time until its timeout.
         */
        @Test
        public void onlyOneRequestFailsOnThem() throws Exception {
            List<CompletableFuture<Boolean>> first =
                    java.util.stream.IntStream.range(0, CONNECTIONS)
                            .mapToObj(unused -> request())
                            .toList();
            for (CompletableFuture<Boolean> response : first) {
                assertTrue(response.get(5, TimeUnit.SECONDS));
            }
            silentConnections = accepted.get();
            assertTrue(silentConnections > 1, "connections: " + silentConnections);
            Thread.sleep(50);
            request().get(5, TimeUnit.SECONDS);
            assertTrue(request().get(5, TimeUnit.SECONDS), "the second request failed, too");
        }
    }
}
