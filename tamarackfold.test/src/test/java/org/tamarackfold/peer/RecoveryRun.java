package org.tamarackfold.peer;

import io.vavr.collection.Vector;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.ProgramId;

/**
 * One run of random faults within the tolerated bounds, which ends with a fault of all storage
 * hosts at a random moment. No more disks are lost than tolerated: the next one is lost only when
 * the hosts and the key-value service have been undisturbed for {@link #CATCH_UP_MILLIS}.
 */
final class RecoveryRun {
    /** Time after the last disturbance from which another disk may be lost. */
    private static final long CATCH_UP_MILLIS = 4_600;

    /** Time within which service must have returned. */
    private static final long RECOVERY_MILLIS = 12_000;

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
    private static final int PROBES = 64;
    private static final int STEPS = 80;

    private final StorageCluster cluster;
    private final Random random;
    private final Workload workload;
    private final List<String> events = new ArrayList<>();
    private final long startNanos;
    private StorageCluster.SimulatedHost stalledHost;
    private long disturbedUntilMillis;

    /** Time until which the disk that was lost last may still lack records. */
    private long diskLostUntilMillis = Long.MIN_VALUE;

    RecoveryRun(long seed) {
        random = new Random(seed);
        cluster = StorageCluster.withLayout(3 + random.nextInt(3), 1, seed);
        workload = new Workload(cluster);
        startNanos = cluster.scheduler.nanoTime();
    }

    /** Plays the run and returns what was lost, exceeded or not served in the end. */
    List<String> violations() {
        int finalStep = STEPS / 2 + random.nextInt(STEPS / 2);
        for (int step = 0; step < finalStep; step++) {
            if (random.nextInt(6) == 0) {
                disturb();
            }
            workload.storeTurn();
            workload.reserve(new ProgramId("program-" + random.nextInt(7)));
            cluster.advance(50 + random.nextInt(400));
        }
        if (random.nextBoolean()) {
            changeMembers();
            cluster.advance(random.nextInt(1_500));
        }
        finalFault();
        cluster.advance(RECOVERY_MILLIS);
        List<String> violations = new ArrayList<>(unserved());
        violations.addAll(workload.lostTurns());
        workload.grantedTokens.forEach(
                (program, tokens) -> {
                    if (tokens > Workload.BUDGET) {
                        violations.add(program + ": " + tokens);
                    }
                });
        return violations.isEmpty() ? violations : withEvents(violations);
    }

    private List<String> withEvents(List<String> violations) {
        List<String> all = new ArrayList<>(events);
        all.addAll(violations);
        return all;
    }

    private long nowMillis() {
        return (cluster.scheduler.nanoTime() - startNanos) / 1_000_000;
    }

    private void note(String event) {
        events.add(nowMillis() + ": " + event);
    }

    private StorageCluster.SimulatedHost anyHost() {
        return cluster.hosts.get(random.nextInt(cluster.hosts.size()));
    }

    private void disturbedFor(long millis) {
        disturbedUntilMillis = Math.max(disturbedUntilMillis, nowMillis() + millis);
    }

    /** Returns whether the loss of another disk is tolerated now. */
    private boolean mayLoseDisk() {
        return nowMillis() > diskLostUntilMillis;
    }

    private void diskLost(long backAfterMillis) {
        diskLostUntilMillis = nowMillis() + backAfterMillis + CATCH_UP_MILLIS;
    }

    private void disturb() {
        long millis = 300 + random.nextInt(4_500);
        switch (random.nextInt(10)) {
            case 0 -> stop(anyHost(), millis, random.nextBoolean());
            case 1 -> keyValueDown(millis);
            case 2 -> keyValueWritesLate(millis);
            case 3 -> keyValueLosesResponses(millis);
            case 4 -> isolate(millis);
            case 5 -> split(millis);
            case 6 -> stallDisk(millis);
            case 7 -> loseDisk(anyHost(), millis);
            default -> changeMembers();
        }
    }

    private void changeMembers() {
        switch (random.nextInt(4)) {
            case 0 -> addHost();
            case 1 -> replaceHost();
            case 2 -> retire();
            default -> loseDisk(anyHost(), 300 + random.nextInt(2_000));
        }
    }

    private void stop(StorageCluster.SimulatedHost host, long millis, boolean power) {
        note("stop " + host.storageHost.host() + " power=" + power + " for " + millis);
        if (power) {
            host.losePower();
        } else {
            host.kill();
        }
        disturbedFor(millis);
        extendDiskLoss(millis);
        cluster.scheduler.after(Duration.ofMillis(millis), () -> startIfPresent(host));
    }

    /** A disk that is not complete yet stays so while others are disturbed. */
    private void extendDiskLoss(long millis) {
        if (!mayLoseDisk()) {
            diskLostUntilMillis =
                    Math.max(diskLostUntilMillis, nowMillis() + millis + CATCH_UP_MILLIS);
        }
    }

    private void startIfPresent(StorageCluster.SimulatedHost host) {
        if (cluster.hosts.contains(host)) {
            host.start();
        }
    }

    private void loseDisk(StorageCluster.SimulatedHost host, long millis) {
        if (!mayLoseDisk()) {
            return;
        }
        note("lose disk of " + host.storageHost.host() + " for " + millis);
        host.loseDisk();
        diskLost(millis);
        disturbedFor(millis);
        cluster.scheduler.after(Duration.ofMillis(millis), () -> startIfPresent(host));
    }

    private void keyValueDown(long millis) {
        note("key-value service down for " + millis);
        cluster.keyValue.setDown(true);
        disturbedFor(millis);
        extendDiskLoss(millis);
        cluster.scheduler.after(Duration.ofMillis(millis), () -> cluster.keyValue.setDown(false));
    }

    private void keyValueWritesLate(long millis) {
        note("key-value service executes writes late for " + millis);
        cluster.keyValue.setWriteDelay(Duration.ofMillis(500 + random.nextInt(4_000)));
        disturbedFor(millis);
        extendDiskLoss(millis + 4_500);
        cluster.scheduler.after(
                Duration.ofMillis(millis), () -> cluster.keyValue.setWriteDelay(Duration.ZERO));
    }

    private void keyValueLosesResponses(long millis) {
        note("responses to writes are lost for " + millis);
        cluster.keyValue.setLosingResponses(true);
        disturbedFor(millis);
        extendDiskLoss(millis);
        cluster.scheduler.after(
                Duration.ofMillis(millis), () -> cluster.keyValue.setLosingResponses(false));
    }

    private void isolate(long millis) {
        StorageCluster.SimulatedHost host = anyHost();
        boolean oneWay = random.nextBoolean();
        note("isolate " + host.storageHost.host() + " one way=" + oneWay + " for " + millis);
        for (StorageCluster.SimulatedHost other : cluster.hosts) {
            if (other != host) {
                cut(host, other, oneWay);
            }
        }
        restoreAfter(millis);
    }

    private void split(long millis) {
        note("split for " + millis);
        int half = cluster.hosts.size() / 2;
        for (int first = 0; first < half; first++) {
            for (int second = half; second < cluster.hosts.size(); second++) {
                cut(cluster.hosts.get(first), cluster.hosts.get(second), false);
            }
        }
        restoreAfter(millis);
    }

    private void cut(
            StorageCluster.SimulatedHost from, StorageCluster.SimulatedHost to, boolean oneWay) {
        cluster.network.cut(from.storageHost.address(), to.storageHost.address());
        if (!oneWay) {
            cluster.network.cut(to.storageHost.address(), from.storageHost.address());
        }
    }

    private void restoreAfter(long millis) {
        disturbedFor(millis);
        extendDiskLoss(millis);
        cluster.scheduler.after(Duration.ofMillis(millis), cluster.network::restoreLinks);
    }

    private void stallDisk(long millis) {
        if (stalledHost != null) {
            return;
        }
        stalledHost = anyHost();
        note("stall disk of " + stalledHost.storageHost.host() + " for " + millis);
        stalledHost.log.setStalled(true);
        disturbedFor(millis);
        extendDiskLoss(millis);
        cluster.scheduler.after(Duration.ofMillis(millis), this::endStall);
    }

    private void endStall() {
        if (stalledHost != null) {
            stalledHost.log.setStalled(false);
            stalledHost = null;
        }
    }

    private StorageCluster.SimulatedHost addHost() {
        StorageCluster.SimulatedHost host = cluster.addHost();
        note("add " + host.storageHost.host());
        return host;
    }

    /** One host is gone for good, an empty one comes at another address. */
    private void replaceHost() {
        if (!mayLoseDisk() || cluster.hosts.size() < 3) {
            return;
        }
        StorageCluster.SimulatedHost host = anyHost();
        long millis = 500 + random.nextInt(2_500);
        note("replace " + host.storageHost.host() + " after " + millis);
        host.losePower();
        cluster.hosts.remove(host);
        diskLost(millis);
        disturbedFor(millis);
        cluster.scheduler.after(Duration.ofMillis(millis), this::addHost);
    }

    /** An operator retires a host; it is gone with its disk once it holds no shards. */
    private void retire() {
        if (cluster.hosts.size() < 4 || !cluster.retiring.isEmpty()) {
            return;
        }
        StorageCluster.SimulatedHost host = anyHost();
        note("retire " + host.storageHost.host());
        cluster.retire(host.storageHost.host());
        cluster.scheduler.after(Duration.ofMillis(200), () -> removeWhenRetired(host));
    }

    private void removeWhenRetired(StorageCluster.SimulatedHost host) {
        if (!cluster.hosts.contains(host)) {
            return;
        }
        if (!host.isRunning() || host.holdsShards()) {
            cluster.scheduler.after(Duration.ofMillis(200), () -> removeWhenRetired(host));
            return;
        }
        note("retired " + host.storageHost.host());
        host.losePower();
        cluster.hosts.remove(host);
        if (random.nextBoolean() && !cluster.hosts.isEmpty()) {
            loseDisk(anyHost(), 300 + random.nextInt(2_000));
        }
    }

    private void finalFault() {
        int kind = random.nextInt(3);
        boolean losesDisk = kind > 0 && mayLoseDisk();
        StorageCluster.SimulatedHost lost = anyHost();
        note(
                "final fault, kind "
                        + kind
                        + ", disk lost: "
                        + (losesDisk ? lost.storageHost : "none"));
        for (StorageCluster.SimulatedHost host : Vector.ofAll(cluster.hosts)) {
            if (losesDisk && host == lost) {
                host.loseDisk();
            } else if (kind == 0) {
                host.kill();
            } else {
                host.losePower();
            }
        }
        int down = 600 + random.nextInt(2_000);
        if (losesDisk) {
            diskLost(down);
        }
        extendDiskLoss(down);
        for (StorageCluster.SimulatedHost host : Vector.ofAll(cluster.hosts)) {
            cluster.scheduler.after(
                    Duration.ofMillis(down + random.nextInt(300)), () -> startIfPresent(host));
        }
        long wait = Math.max(down + 300, disturbedUntilMillis - nowMillis());
        cluster.advance(wait);
        endDisturbances();
        note("all hosts are back");
    }

    private void endDisturbances() {
        cluster.keyValue.setDown(false);
        cluster.keyValue.setWriteDelay(Duration.ZERO);
        cluster.keyValue.setLosingResponses(false);
        cluster.network.restoreLinks();
        endStall();
    }

    private List<String> unserved() {
        List<String> unserved = new ArrayList<>();
        List<CompletableFuture<TurnHistory.Reservation>> reservations = new ArrayList<>();
        for (int probe = 0; probe < PROBES; probe++) {
            reservations.add(
                    cluster.client.reserve(
                            new ProgramId("probe-" + probe),
                            new CallId("probe-" + probe),
                            1,
                            Workload.BUDGET,
                            new StreamStart.Untracked(),
                            REQUEST_TIMEOUT));
        }
        cluster.advance(REQUEST_TIMEOUT.toMillis() + 1_000);
        for (int probe = 0; probe < PROBES; probe++) {
            TurnHistory.Reservation result = reservations.get(probe).getNow(null);
            if (!(result instanceof TurnHistory.Reservation.Granted)) {
                View view =
                        cluster.layout()
                                .view(cluster.layout().shardOf(new ProgramId("probe-" + probe)));
                unserved.add("probe " + probe + ": " + result + " " + view);
            }
        }
        return unserved;
    }
}
