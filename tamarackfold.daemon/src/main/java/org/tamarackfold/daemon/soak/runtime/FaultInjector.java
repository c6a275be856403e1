package org.tamarackfold.daemon.soak.runtime;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.Semaphore;
import java.util.stream.Collectors;
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

    /** Time from the start of a rejection until keys are withdrawn, in milliseconds. */
    private static final long BEFORE_WITHDRAWAL_MILLIS = 1_500;

    /** Time between withdrawals, by which the lease of a rejected host ends, in milliseconds. */
    private static final long BETWEEN_WITHDRAWALS_MILLIS = 5_000;

    /** Time from the last withdrawal to the end of a rejection, in milliseconds. */
    private static final long AFTER_WITHDRAWAL_MILLIS = 5_000;

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

    /**
     * Starts a fault; the future completes when it has ended. A target that another fault holds is
     * left out.
     */
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
            case Fault.Stop(HostProcess host) -> {
                Semaphore stops = host.isEntry() ? entryStops : storageStops;
                if (stops.tryAcquire()) {
                    reserved(fault, List.of(host), FaultInjector::stop);
                    stops.release();
                }
            }
            case Fault.Kill(List<HostProcess> hosts, long pauseMillis) ->
                    reserved(fault, hosts, free -> kill(free, pauseMillis));
            case Fault.Freeze(HostProcess host, long pauseMillis) ->
                    reserved(fault, List.of(host), free -> freeze(free, pauseMillis));
            case Fault.Reload(HostProcess host) ->
                    reserved(fault, List.of(host), FaultInjector::reload);
            case Fault.NewRelease() -> timed(fault, fleet::rotateKeys);
            case Fault.Replace(Fleet.Slot slot, boolean reported, String version) -> {
                if (slot.reservation.tryAcquire()) {
                    timed(fault, () -> replace(slot, reported, version));
                    slot.reservation.release();
                }
            }
            case Fault.WithdrawUnseen(List<HostProcess> hosts, Fault.Rejection rejection) -> {
                // Another host must be there from which the rejected ones can learn of the release.
                if (entryStops.tryAcquire()) {
                    reserved(fault, hosts, free -> withdrawUnseen(free, rejection));
                    entryStops.release();
                }
            }
            case Fault.CutOff cut -> reserved(fault, cut.hosts(), free -> cutOff(free, cut));
            case Fault.Disconnect disconnect -> timed(fault, () -> disconnect(disconnect));
        }
    }

    /** A step that may wait. */
    private interface Action {
        void run() throws IOException, InterruptedException;
    }

    /** A step for the hosts that no other fault holds. */
    private interface HostAction {
        void run(List<HostProcess> hosts) throws IOException, InterruptedException;
    }

    private void reserved(Fault fault, List<HostProcess> hosts, HostAction action)
            throws IOException, InterruptedException {
        List<HostProcess> free = hosts.stream().filter(HostProcess::reserve).toList();
        if (!free.isEmpty()) {
            timed(fault, () -> action.run(free));
        }
        free.forEach(HostProcess::release);
    }

    private void timed(Fault fault, Action action) throws IOException, InterruptedException {
        String text = fault.getClass().getSimpleName() + " " + fault.scope();
        FaultTimeline.Entry entry = timeline.begin(fault.scope(), fault.kind());
        print("fault", text);
        action.run();
        entry.end();
        print("ended", text);
    }

    private void print(String event, String fault) {
        String at = "%.3f".formatted(ledger.seconds(System.nanoTime()));
        out.println(event + " at=" + at + "s " + fault);
    }

    private static void stop(List<HostProcess> hosts) throws IOException, InterruptedException {
        hosts.getFirst().terminate(Fleet.GRACE_MILLIS);
        Thread.sleep(RESTART_MILLIS);
        hosts.getFirst().start();
    }

    private static void kill(List<HostProcess> hosts, long pauseMillis)
            throws IOException, InterruptedException {
        hosts.forEach(HostProcess::kill);
        Thread.sleep(pauseMillis);
        for (HostProcess host : hosts) {
            host.start();
        }
    }

    private static void freeze(List<HostProcess> hosts, long pauseMillis)
            throws IOException, InterruptedException {
        hosts.getFirst().signal("STOP");
        Thread.sleep(pauseMillis);
        hosts.getFirst().signal("CONT");
    }

    private static void reload(List<HostProcess> hosts) throws IOException, InterruptedException {
        HostProcess host = hosts.getFirst();
        String text = Files.readString(host.settings());
        Files.writeString(host.settings(), text.replace("live_ms = 1000", "live_ms = 1100"));
        host.hangUp();
    }

    /** The endpoint ends once its calls have ended, and not before the drain period. */
    private void replace(Fleet.Slot slot, boolean reported, String version)
            throws IOException, InterruptedException {
        StandInEndpoint leaving = slot.endpoint;
        leaving.setLeaving();
        if (reported) {
            fleet.register(slot, true);
        } else {
            fleet.removeEndpoint(slot);
        }
        leaving.setDraining();
        Thread.sleep(DRAIN_MILLIS);
        while (leaving.running() > 0) {
            Thread.sleep(POLL_MILLIS);
        }
        fleet.removeEndpoint(slot);
        fleet.startEndpoint(slot, version);
        leaving.close();
    }

    private void withdrawUnseen(List<HostProcess> hosts, Fault.Rejection rejection)
            throws IOException, InterruptedException {
        for (HostProcess host : hosts) {
            fleet.reject(host.id(), rejection);
        }
        Thread.sleep(BEFORE_WITHDRAWAL_MILLIS);
        fleet.rotateKeys();
        Thread.sleep(BETWEEN_WITHDRAWALS_MILLIS);
        fleet.rotateKeys();
        Thread.sleep(AFTER_WITHDRAWAL_MILLIS);
        for (HostProcess host : hosts) {
            fleet.endRejection(host.id());
        }
    }

    private void cutOff(List<HostProcess> hosts, Fault.CutOff fault)
            throws IOException, InterruptedException {
        long startNanos = System.nanoTime();
        for (HostProcess host : hosts) {
            fleet.links.get(host.id()).set(fault.condition());
        }
        Thread.sleep(fault.pauseMillis());
        ledger.checkContact(
                hosts.stream().map(HostProcess::id).collect(Collectors.toSet()), startNanos);
        for (HostProcess host : hosts) {
            fleet.links.get(host.id()).set(new LoopbackProxy.Condition.Clear());
        }
    }

    private static void disconnect(Fault.Disconnect fault)
            throws IOException, InterruptedException {
        for (LoopbackProxy proxy : fault.proxies()) {
            proxy.set(fault.condition());
        }
        Thread.sleep(fault.pauseMillis());
        for (LoopbackProxy proxy : fault.proxies()) {
            proxy.set(new LoopbackProxy.Condition.Clear());
        }
        if (fault.resetAtEnd()) {
            fault.proxies().forEach(LoopbackProxy::reset);
        }
    }
}
