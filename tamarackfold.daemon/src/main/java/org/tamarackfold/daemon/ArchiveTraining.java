package org.tamarackfold.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.tamarackfold.log.BoundedConsoleHandler;

/**
 * Training run for the class data sharing (CDS) archive: starts an entry host and a storage host on
 * loopback for a short time, so that the JVM archives the classes that they load.
 */
public final class ArchiveTraining {
    /** How long the hosts run, in milliseconds; enough to load the classes of a start. */
    private static final long RUN_MILLIS = 1_500;

    private static final int PORT_COUNT = 8;
    private static final int EXIT_START_FAILED = 1;

    private ArchiveTraining() {}

    /**
     * Runs the hosts, then exits with status 0, or 1 when a host cannot be started.
     *
     * @param arguments the folder for settings files and data; created when missing
     */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        Path folder = Path.of(arguments[0]);
        Files.createDirectories(folder);
        BoundedConsoleHandler.install(System.out);
        List<Integer> ports = freePorts();
        try {
            HostDaemon.start(
                    HostDaemon.readSettings(writeSettings(folder, "entry", entrySettings(ports))));
            HostDaemon.start(
                    HostDaemon.readSettings(
                            writeSettings(folder, "storage", storageSettings(folder, ports))));
        } catch (IOException | RuntimeException e) {
            // Threads of a host that has started would keep the process, and with it the build,
            // running.
            System.err.println(
                    "tamarackfold: archive training failed, cannot start the hosts: " + e);
            System.exit(EXIT_START_FAILED);
        }
        Thread.sleep(RUN_MILLIS);
        System.exit(0);
    }

    private static List<Integer> freePorts() throws IOException {
        List<java.net.ServerSocket> sockets = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < PORT_COUNT; i++) {
            java.net.ServerSocket socket = new java.net.ServerSocket(0);
            sockets.add(socket);
            ports.add(socket.getLocalPort());
        }
        for (java.net.ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    private static Path writeSettings(Path folder, String name, String text) throws IOException {
        return Files.writeString(folder.resolve(name + ".toml"), text);
    }

    private static String entrySettings(List<Integer> ports) {
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
                + commonSettings(ports)
                + "[storage]\ntolerated_losses = 0\n";
    }

    private static String storageSettings(Path folder, List<Integer> ports) {
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
                + commonSettings(ports)
                + "[storage]\ntolerated_losses = 0\ndisk_mb = 10\nfolder = \""
                + folder.resolve("data")
                + "\"\n";
    }

    private static String commonSettings(List<Integer> ports) {
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
