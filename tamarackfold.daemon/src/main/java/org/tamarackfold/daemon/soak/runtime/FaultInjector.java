package org.tamarackfold.daemon.soak.runtime;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.Semaphore;
import org.tamarackfold.daemon.soak.FaultTimeline;
import org.tamarackfold.daemon.soak.Ledger;
import org.tamarackfold.daemon.soak.http.LoopbackProxy;
import org.tamarackfold.daemon.soak.http.StandInEndpoint;

/** Carries out faults, each on a thread of its own, so that they overlap. */
final class FaultInjector implements AutoCloseable {
    /** How long an endpoint serves after its draining report, in milliseconds. */
    private static final long DRAIN_MILLIS = 4_000;

    private static final long POLL_MILLIS = 50;
    private static final long RESTART_MILLIS = 300;

    private final Fleet fleet;
    private final FaultTimeline timeline;
    private final Ledger ledger;
    private final PrintStream out;
    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();

    /** Planned stops of one role come one after another: no operator stops a whole fleet. */
    private final Semaphore entryStops = new Semaphore(1);

    private final Semaphore storageStops = new Semaphore(1);

    FaultInjector(Fleet fleet, FaultTimeline timeline, Ledger ledger, PrintStream out) {
        this.fleet = fleet;
        this.timeline = timeline;
        this.ledger = ledger;
        this.out = out;
    }

    /** Starts a fault; the future completes when it has ended. */
    Future<?> inject(Fault fault) {
        return threads.submit(
                () -> {
                    run(fault);
                    return null;
                });
    }

    @Override
    public void close() {
        threads.close();
    }

    private void run(Fault fault) throws IOException, InterruptedException {
        switch (fault) {
            case Fault.Stop(HostProcess host) -> withHost(fault, host, () -> stop(host));
            case Fault.Kill(HostProcess host, long pauseMillis) ->
                    withHost(
                            fault,
                            host,
                            () -> {
                                host.kill();
                                Thread.sleep(pauseMillis);
                                host.start();
                            });
            case Fault.Freeze(HostProcess host, long pauseMillis) ->
                    withHost(
                            fault,
                            host,
                            () -> {
                                host.signal("STOP");
                                Thread.sleep(pauseMillis);
                                host.signal("CONT");
                            });
            case Fault.Reload(HostProcess host) -> withHost(fault, host, () -> reload(host));
            case Fault.KillAll() -> timed(fault, this::killAll);
            case Fault.NewRelease() -> timed(fault, fleet::writeRelease);
            case Fault.Replace(Fleet.Slot slot, boolean reported, String version) -> {
                if (slot.reserve()) {
                    timed(fault, () -> replace(slot, reported, version));
                    slot.release();
                }
            }
            case Fault.Disconnect disconnect -> timed(fault, () -> disconnect(disconnect));
            case Fault.SilentKeyValueService(long pauseMillis) ->
                    timed(fault, () -> silenceKeyValueService(pauseMillis));
        }
    }

    /** A step that may wait. */
    private interface Action {
        void run() throws IOException, InterruptedException;
    }

    private void withHost(Fault fault, HostProcess host, Action action)
            throws IOException, InterruptedException {
        if (!host.reserve()) {
            return;
        }
        Semaphore stops = host.isEntry() ? entryStops : storageStops;
        boolean limited = fault instanceof Fault.Stop;
        if (!limited || stops.tryAcquire()) {
            try {
                timed(fault, action);
            } finally {
                if (limited) {
                    stops.release();
                }
            }
        }
        host.release();
    }

    private void timed(Fault fault, Action action) throws IOException, InterruptedException {
        String text = describe(fault) + " scope=" + fault.scope();
        FaultTimeline.Entry entry = timeline.begin(fault.scope(), fault.planned());
        print("fault", text);
        action.run();
        entry.end();
        print("ended", text);
    }

    private void print(String event, String fault) {
        String at = "%.3f".formatted(ledger.seconds(System.nanoTime()));
        out.println(event + " at=" + at + "s " + fault);
    }

    private static String describe(Fault fault) {
        return fault instanceof Fault.Disconnect disconnect
                ? "Disconnect " + disconnect.condition()
                : fault.getClass().getSimpleName();
    }

    private static void stop(HostProcess host) throws IOException, InterruptedException {
        host.terminate(Fleet.GRACE_MILLIS);
        Thread.sleep(RESTART_MILLIS);
        host.start();
    }

    private static void reload(HostProcess host) throws IOException, InterruptedException {
        String text = Files.readString(host.settings());
        Files.writeString(host.settings(), text.replace("_ms = 1000", "_ms = 1100"));
        host.signal("HUP");
    }

    /** Disks are kept. The hosts that another fault holds come back with that fault. */
    private void killAll() throws IOException, InterruptedException {
        var reserved = fleet.hosts.stream().filter(HostProcess::reserve).toList();
        for (HostProcess host : reserved) {
            host.kill();
        }
        Thread.sleep(RESTART_MILLIS);
        for (HostProcess host : reserved) {
            host.start();
            host.release();
        }
    }

    /** The endpoint ends once its calls have ended, and not before the drain period. */
    private void replace(Fleet.Slot slot, boolean reported, String version)
            throws IOException, InterruptedException {
        StandInEndpoint leaving = slot.endpoint;
        if (reported) {
            fleet.drainEndpoint(slot);
        } else {
            fleet.removeEndpoint(slot);
        }
        Thread.sleep(DRAIN_MILLIS);
        while (leaving.running() > 0) {
            Thread.sleep(POLL_MILLIS);
        }
        if (reported) {
            fleet.removeEndpoint(slot);
        }
        fleet.startEndpoint(slot, version);
        leaving.close();
    }

    private static void disconnect(Fault.Disconnect fault) throws InterruptedException {
        fault.proxy().set(fault.condition());
        Thread.sleep(fault.pauseMillis());
        fault.proxy().set(new LoopbackProxy.Condition.Clear());
        if (fault.resetAtEnd()) {
            fault.proxy().reset();
        }
    }

    private void silenceKeyValueService(long pauseMillis) throws InterruptedException {
        fleet.keyValueProxies.forEach(
                proxy -> proxy.set(new LoopbackProxy.Condition.Silent(true, true)));
        Thread.sleep(pauseMillis);
        fleet.keyValueProxies.forEach(proxy -> proxy.set(new LoopbackProxy.Condition.Clear()));
        fleet.keyValueProxies.forEach(LoopbackProxy::reset);
    }
}
