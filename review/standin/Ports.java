import java.io.*;
import java.net.*;

/** Free ports of the loopback address, below those that the kernel gives to outgoing connections. */
final class Ports {
    private static int next = 12_000 + (int) (ProcessHandle.current().pid() * 97 % 18_000);

    static synchronized int free() {
        while (true) {
            int port = 12_000 + (next++ - 12_000) % 18_000;
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress("127.0.0.1", port));
                return port;
            } catch (IOException e) {
                // The next one is tried.
            }
        }
    }
}
