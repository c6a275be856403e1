package org.tamarackfold.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.tamarackfold.log.BoundedConsoleHandler;

/**
 * Starts an entry host and a storage host on loopback for a moment, so that the build can archive
 * the classes that they load.
 */
public final class ArchiveTraining {
    /** Time in which the hosts load what they need, in milliseconds. */
    private static final long RUN_MILLIS = 1_500;

    private static final int PORTS = 8;
    private static final int FAILED = 1;

    private ArchiveTraining() {}

    /** Runs the hosts with data under the given folder. */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        Path folder = Path.of(arguments[0]);
        Files.createDirectories(folder);
        BoundedConsoleHandler.install(System.out);
        List<Integer> ports = freePorts();
        try {
            HostDaemon.start(HostDaemon.read(write(folder, "entry", entry(ports))));
            HostDaemon.start(HostDaemon.read(write(folder, "storage", storage(folder, ports))));
        } catch (IOException | RuntimeException e) {
            // The threads of a host that has started would keep the process, and so the build.
            System.err.println("tamarackfold: training failed: " + e);
            System.exit(FAILED);
        }
        Thread.sleep(RUN_MILLIS);
        System.exit(0);
    }

    private static List<Integer> freePorts() throws IOException {
        List<java.net.ServerSocket> sockets = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < PORTS; i++) {
            java.net.ServerSocket socket = new java.net.ServerSocket(0);
            sockets.add(socket);
            ports.add(socket.getLocalPort());
        }
        for (java.net.ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    private static Path write(Path folder, String name, String text) throws IOException {
        return Files.writeString(folder.resolve(name + ".toml"), text);
    }

    private static String entry(List<Integer> ports) {
        return """
               role = "entry"
               host = "training-entry"
               availability_zone = "training"
               adapter = "fleet"
               [listeners]
               callers = "127.0.0.1:%d"
               readiness = "127.0.0.1:%d"
               directory = "127.0.0.1:%d"
               peers = "127.0.0.1:%d"
               metrics = "127.0.0.1:%d"
               """
                        .formatted(
                                ports.get(0),
                                ports.get(1),
                                ports.get(2),
                                ports.get(3),
                                ports.get(4))
                + common(ports)
                + "[storage]\ntolerated_losses = 0\n";
    }

    private static String storage(Path folder, List<Integer> ports) {
        return """
               role = "storage"
               host = "training-storage"
               availability_zone = "training"
               adapter = "fleet"
               [listeners]
               peers = "127.0.0.1:%d"
               metrics = "127.0.0.1:%d"
               """
                        .formatted(ports.get(6), ports.get(7))
                + common(ports)
                + "[storage]\ntolerated_losses = 0\ndisk_mb = 10\nfolder = \""
                + folder.resolve("data")
                + "\"\n";
    }

    private static String common(List<Integer> ports) {
        return """
               [key_value]
               address = "127.0.0.1:%d"
               minimum_lease_ms = 1000
               [shutdown]
               grace_s = 8
               [directory]
               time_to_live_ms = 1000
               """
                .formatted(ports.get(5));
    }
}
