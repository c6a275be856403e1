package org.tamarackfold.daemon;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ServiceLoader;
import java.util.concurrent.CountDownLatch;
import org.tamarackfold.adapter.PlatformAdapter;
import org.tamarackfold.log.BoundedConsoleHandler;
import org.tamarackfold.log.ShutdownLogManager;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.node.runtime.EntryNode;
import org.tamarackfold.node.runtime.Host;
import org.tamarackfold.node.runtime.StorageNode;
import org.tamarackfold.settings.HostSettings;
import org.tamarackfold.settings.toml.SettingsFile;

/** Main class of a host process. Runs one host until the JVM receives SIGTERM or SIGINT. */
public final class HostDaemon {
    /** Environment variable with the path of the settings file, used when no argument is given. */
    private static final String SETTINGS_VARIABLE = "TAMARACKFOLD_CONFIG";

    private static final int EXIT_USAGE_ERROR = 2;
    private static final int EXIT_START_FAILED = 1;

    private HostDaemon() {}

    /**
     * Runs the host that the settings file describes. Exits with status 2 on a usage or settings
     * error and with status 1 when the host cannot be started.
     *
     * @param arguments the path of the settings file; may be empty
     */
    public static void main(String[] arguments) throws IOException {
        selectLogManager();
        String path = arguments.length > 0 ? arguments[0] : System.getenv(SETTINGS_VARIABLE);
        if (path == null) {
            System.err.println(
                    "tamarackfold: no settings file; pass its path as argument or set "
                            + SETTINGS_VARIABLE);
            System.exit(EXIT_USAGE_ERROR);
            return;
        }
        Path file = Path.of(path);
        // Before the settings are read: until then, SIGHUP ends the process.
        HangupHandler.install(file, StructuredLog.of("host"));
        Either<Vector<String>, HostSettings> settings = SettingsFile.read(file);
        if (settings.isLeft()) {
            settings.getLeft().forEach(System.err::println);
            System.exit(EXIT_USAGE_ERROR);
            return;
        }
        run(settings.get());
    }

    /** Must run before the first use of logging, because that creates the log manager. */
    private static void selectLogManager() {
        System.setProperty("java.util.logging.manager", ShutdownLogManager.class.getName());
    }

    /**
     * Reads a settings file.
     *
     * @throws IllegalArgumentException when the file has errors; the message lists all of them
     */
    static HostSettings readSettings(Path file) {
        return SettingsFile.read(file)
                .getOrElseThrow(errors -> new IllegalArgumentException(errors.mkString("; ")));
    }

    private static void run(HostSettings settings) {
        BoundedConsoleHandler console = BoundedConsoleHandler.install(System.out);
        StructuredLog log = StructuredLog.of("host");
        log.event("starting")
                .with("host", settings.host())
                .with("role", settings.role())
                .with("zone", settings.zone())
                .info();
        Host host = startOrExit(settings, log, console);
        log.event("started").with("host", settings.host()).info();
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    host.stop();
                                    log.event("ended").info();
                                    console.close();
                                    stopped.countDown();
                                },
                                "shutdown"));
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Exits on failure, because threads of a partly started host would keep the process alive. An
     * error, such as a heap that is too small, is a failure, too.
     */
    private static Host startOrExit(
            HostSettings settings, StructuredLog log, BoundedConsoleHandler console) {
        try {
            return start(settings);
        } catch (IOException | RuntimeException | Error e) {
            log.event("start_failed").with("host", settings.host()).with("reason", e).warn();
            console.close();
            System.exit(EXIT_START_FAILED);
            throw new IllegalStateException("System.exit returned", e);
        }
    }

    static Host start(HostSettings settings) throws IOException {
        PlatformAdapter adapter = findAdapter(settings.adapterName());
        return switch (settings.role()) {
            case ENTRY -> EntryNode.start(settings, adapter);
            case STORAGE -> StorageNode.start(settings, adapter);
        };
    }

    private static PlatformAdapter findAdapter(String name) {
        for (PlatformAdapter candidate : ServiceLoader.load(PlatformAdapter.class)) {
            if (candidate.name().equals(name)) {
                return candidate;
            }
        }
        throw new IllegalArgumentException("adapter: no platform adapter has the name " + name);
    }
}
