package org.tamarackfold.daemon.soak.runtime;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.tamarackfold.daemon.HostDaemon;
import org.tamarackfold.daemon.soak.Ledger;
import org.tamarackfold.daemon.soak.Rule;
import org.tamarackfold.id.HostId;

/** Process of one host. Signals go to the process that this object has started, by its id. */
final class HostProcess {
    private static final String JAVA = Path.of(System.getProperty("java.home"), "bin/java") + "";

    private final HostId id;
    private final Path settings;
    private final boolean entry;
    private final Ledger ledger;
    private final AtomicBoolean busy = new AtomicBoolean();
    private volatile Process process;
    private volatile boolean ending;

    HostProcess(HostId id, Path settings, boolean entry, Ledger ledger) {
        this.id = id;
        this.settings = settings;
        this.entry = entry;
        this.ledger = ledger;
    }

    HostId id() {
        return id;
    }

    boolean isEntry() {
        return entry;
    }

    Path settings() {
        return settings;
    }

    /** Reserves the host for one fault; returns false when another one is under way. */
    boolean reserve() {
        return busy.compareAndSet(false, true);
    }

    void release() {
        busy.set(false);
    }

    void start() throws IOException {
        File log = settings.resolveSibling(id + ".log").toFile();
        Process started =
                new ProcessBuilder(command())
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                        .start();
        ending = false;
        process = started;
        started.onExit().thenAccept(this::checkExit);
    }

    /** Returns the command of the deployment, without its archive of classes. */
    private List<String> command() {
        return List.of(
                JAVA,
                entry ? "-Xmx96m" : "-Xmx128m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Dtamarackfold.lock.check=true",
                "-cp",
                System.getProperty("java.class.path"),
                HostDaemon.class.getName(),
                settings.toString());
    }

    private void checkExit(Process ended) {
        if (!ending) {
            ledger.report(
                    Rule.ENDED,
                    "none",
                    "%s, process %d, ended with status %d"
                            .formatted(id, ended.pid(), ended.exitValue()));
        }
    }

    /** Sends SIGTERM, and SIGKILL when the process is still there after the grace period. */
    void terminate(long graceMillis) throws InterruptedException {
        ending = true;
        process.destroy();
        if (!process.waitFor(graceMillis, TimeUnit.MILLISECONDS)) {
            kill();
        }
    }

    void kill() {
        ending = true;
        process.destroyForcibly().onExit().join();
    }

    /**
     * Sends a signal.
     *
     * @param signal the name, without SIG
     */
    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }
}
