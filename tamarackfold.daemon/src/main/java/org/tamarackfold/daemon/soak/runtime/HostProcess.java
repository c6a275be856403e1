package org.tamarackfold.daemon.soak.runtime;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
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
    private volatile long startNanos;

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

    /**
     * Starts the command of the deployment, without its archive of classes. A process that runs out
     * of heap ends, so that it is noticed.
     */
    void start() throws IOException {
        File log = settings.resolveSibling(id + ".log").toFile();
        List<String> command = new ArrayList<>();
        command.addAll(List.of(JAVA, "-Xmx128m", "-Xss256k", "-XX:+UseSerialGC"));
        command.add("-XX:+ExitOnOutOfMemoryError");
        command.addAll(List.of("-XX:TieredStopAtLevel=1", "-Dtamarackfold.lock.check=true"));
        command.addAll(List.of("-cp", System.getProperty("java.class.path")));
        command.addAll(List.of(HostDaemon.class.getName(), settings.toString()));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        ending = false;
        startNanos = System.nanoTime();
        process = builder.start();
        process.onExit().thenAccept(this::checkExit);
    }

    private void checkExit(Process ended) {
        if (!ending) {
            String seen = "%s, process %d, ended with status %d";
            ledger.report(Rule.ENDED, "none", seen.formatted(id, ended.pid(), ended.exitValue()));
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
        if (process != null) {
            process.destroyForcibly().onExit().join();
        }
    }

    /**
     * Sends SIGHUP, not in the first second after a start: the JVM installs its signal handlers
     * some time after the start, and until then the signal ends it.
     */
    void hangUp() throws IOException, InterruptedException {
        long ageMillis = (System.nanoTime() - startNanos) / 1_000_000;
        Thread.sleep(Math.max(0, 1_000 - ageMillis));
        signal("HUP");
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
