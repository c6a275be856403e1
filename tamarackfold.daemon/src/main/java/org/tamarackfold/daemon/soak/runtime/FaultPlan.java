package org.tamarackfold.daemon.soak.runtime;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.tamarackfold.daemon.soak.http.LoopbackProxy;
import org.tamarackfold.daemon.soak.http.LoopbackProxy.Condition;
import org.tamarackfold.daemon.soak.http.SpoiledHead;
import org.tamarackfold.daemon.soak.http.SpoiledResponse;

/** Chooses faults at random from a seed. Used by one thread. */
final class FaultPlan {
    private static final List<Condition> CONDITIONS =
            List.of(
                    new Condition.Delayed(150),
                    new Condition.Refusing(),
                    new Condition.Silent(true, true),
                    new Condition.Silent(true, false),
                    new Condition.Silent(false, true));

    private static final List<Condition> CUTS =
            List.of(
                    new Condition.Hanging(),
                    new Condition.Closed(true),
                    new Condition.Closed(false));

    private static final List<Fault.Rejection> REJECTIONS =
            List.of(
                    new Fault.Rejection.Status(503),
                    new Fault.Rejection.Status(429),
                    new Fault.Rejection.Connections(new Condition.Refusing()),
                    new Fault.Rejection.Connections(new Condition.Silent(true, true)));

    /** One of so many entry hosts is rejected by the key-value service. */
    private static final int REJECTED_PART = 3;

    private final Fleet fleet;
    private final Random random;
    private final SoakOptions.FaultSelection faults;

    FaultPlan(Fleet fleet, Random random, SoakOptions.FaultSelection faults) {
        this.fleet = fleet;
        this.random = random;
        this.faults = faults;
    }

    /** Returns the pause before the next fault, in milliseconds; short ones make faults overlap. */
    long nextPauseMillis() {
        return random.nextInt(3) == 0 ? random.nextInt(300) : 500 + random.nextInt(3_500);
    }

    Fault nextPlanned() {
        return switch (random.nextInt(8)) {
            case 0, 1, 2 -> new Fault.Stop(host(true));
            case 3 -> new Fault.Stop(host(false));
            case 4 -> new Fault.Reload(pick(fleet.hosts));
            case 5 -> new Fault.NewRelease();
            default ->
                    new Fault.Replace(
                            pick(fleet.slots),
                            random.nextInt(4) > 0,
                            faults == SoakOptions.FaultSelection.VERSIONS && random.nextBoolean()
                                    ? "2"
                                    : "1");
        };
    }

    Fault nextUnplanned() {
        long pauseMillis = 200 + random.nextInt(3_000);
        if (faults == SoakOptions.FaultSelection.CUTS) {
            return random.nextInt(3) > 0 ? cutOff() : nextPlanned();
        }
        if (faults == SoakOptions.FaultSelection.SPOILED_RESPONSES) {
            return random.nextInt(4) > 0 ? spoiledResponses() : nextPlanned();
        }
        if (faults == SoakOptions.FaultSelection.SPOILED_HEADS) {
            return random.nextInt(4) > 0 ? spoiledHeads() : nextPlanned();
        }
        if (faults == SoakOptions.FaultSelection.CRASHING_REQUESTS) {
            return nextPlanned();
        }
        if (faults == SoakOptions.FaultSelection.KEYS) {
            return random.nextBoolean() ? withdrawUnseen() : nextPlanned();
        }
        return switch (random.nextInt(13)) {
            case 12 -> cutOff();
            case 0 -> new Fault.Kill(List.of(host(true)), pauseMillis);
            case 1 -> new Fault.Kill(List.of(host(false)), pauseMillis);
            case 2 -> new Fault.Freeze(pick(fleet.hosts), pauseMillis);
            case 3 -> random.nextInt(3) == 0 ? new Fault.Kill(fleet.hosts, 300) : nextPlanned();
            case 4 -> disconnect("hosts and key-value service", fleet.keyValueProxies, pauseMillis);
            case 5 -> disconnect("callers", List.of(pick(fleet.hostProxies)), pauseMillis);
            case 6 ->
                    disconnect(
                            "a host and the key-value service",
                            List.of(pick(fleet.keyValueProxies)),
                            pauseMillis);
            case 7, 8, 9, 10 -> {
                Fleet.Slot slot = pick(fleet.slots);
                String peers = "hosts and " + slot.endpoint.id();
                yield disconnect(peers, List.of(slot.endpoint.proxy()), pauseMillis);
            }
            default -> nextPlanned();
        };
    }

    private Fault withdrawUnseen() {
        List<HostProcess> entries = shuffledEntryHosts();
        int count = Math.max(1, entries.size() / REJECTED_PART);
        return new Fault.WithdrawUnseen(List.copyOf(entries.subList(0, count)), pick(REJECTIONS));
    }

    private List<HostProcess> shuffledEntryHosts() {
        List<HostProcess> entries =
                new ArrayList<>(fleet.hosts.stream().filter(HostProcess::isEntry).toList());
        Collections.shuffle(entries, random);
        return entries;
    }

    /** Cuts off some entry hosts, not all of them, briefly or for seconds. */
    private Fault cutOff() {
        List<HostProcess> entries = shuffledEntryHosts();
        int count = 1 + random.nextInt(Math.max(1, entries.size() - 1));
        long pauseMillis = random.nextBoolean() ? 7_000 : 200 + random.nextInt(2_000);
        return new Fault.CutOff(List.copyOf(entries.subList(0, count)), pick(CUTS), pauseMillis);
    }

    /** Has an endpoint spoil a third to all of its responses for some seconds. */
    private Fault spoiledResponses() {
        Fleet.Slot slot = pick(fleet.slots);
        SpoiledResponse response = pick(List.of(SpoiledResponse.values()));
        return spoil(slot, new Condition.Spoiled(response, 1 + random.nextInt(3)));
    }

    /** Has an endpoint spoil a third to all of its heads for some seconds. */
    private Fault spoiledHeads() {
        Fleet.Slot slot = pick(fleet.slots);
        SpoiledHead head = pick(List.of(SpoiledHead.values()));
        return spoil(slot, new Condition.SpoiledHeads(head, 1 + random.nextInt(3)));
    }

    private Fault spoil(Fleet.Slot slot, Condition condition) {
        return new Fault.Disconnect(
                "hosts and " + slot.endpoint.id(),
                List.of(slot.endpoint.proxy()),
                condition,
                500 + random.nextInt(4_000),
                false);
    }

    private Fault disconnect(String peers, List<LoopbackProxy> proxies, long pauseMillis) {
        return new Fault.Disconnect(
                peers, proxies, pick(CONDITIONS), pauseMillis, random.nextBoolean());
    }

    private HostProcess host(boolean entry) {
        return pick(fleet.hosts.stream().filter(host -> host.isEntry() == entry).toList());
    }

    private <T> T pick(List<T> from) {
        return from.get(random.nextInt(from.size()));
    }
}
