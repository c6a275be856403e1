package org.tamarackfold.daemon.soak.runtime;

import java.util.List;
import java.util.Random;
import org.tamarackfold.daemon.soak.http.LoopbackProxy;

/** Chooses faults at random from a seed. Used by one thread. */
final class FaultPlan {
    private static final LoopbackProxy.Condition[] CONDITIONS = {
        new LoopbackProxy.Condition.Delayed(150),
        new LoopbackProxy.Condition.Refusing(),
        new LoopbackProxy.Condition.Silent(true, true),
        new LoopbackProxy.Condition.Silent(true, false),
        new LoopbackProxy.Condition.Silent(false, true),
    };

    private final Fleet fleet;
    private final Random random;
    private final boolean versions;

    FaultPlan(Fleet fleet, Random random, boolean versions) {
        this.fleet = fleet;
        this.random = random;
        this.versions = versions;
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
                            versions && random.nextBoolean() ? "2" : "1");
        };
    }

    Fault nextUnplanned() {
        long pauseMillis = 200 + random.nextInt(3_000);
        return switch (random.nextInt(10)) {
            case 0 -> new Fault.Kill(host(true), pauseMillis);
            case 1 -> new Fault.Kill(host(false), pauseMillis);
            case 2 -> new Fault.Freeze(pick(fleet.hosts), pauseMillis);
            case 3 -> random.nextInt(3) == 0 ? new Fault.KillAll() : nextPlanned();
            case 4 -> new Fault.SilentKeyValueService(pauseMillis);
            case 5 -> disconnect("callers", pick(fleet.hostProxies), pauseMillis);
            case 6 -> disconnect("key-value client", pick(fleet.keyValueProxies), pauseMillis);
            case 7, 8 -> {
                Fleet.Slot slot = pick(fleet.slots);
                yield disconnect(
                        "endpoint " + slot.endpoint.id(), slot.endpoint.proxy(), pauseMillis);
            }
            default -> nextPlanned();
        };
    }

    private Fault disconnect(String scope, LoopbackProxy proxy, long pauseMillis) {
        LoopbackProxy.Condition condition = CONDITIONS[random.nextInt(CONDITIONS.length)];
        return new Fault.Disconnect(scope, proxy, condition, pauseMillis, random.nextBoolean());
    }

    private HostProcess host(boolean entry) {
        return pick(fleet.hosts.stream().filter(host -> host.isEntry() == entry).toList());
    }

    private <T> T pick(List<T> from) {
        return from.get(random.nextInt(from.size()));
    }
}
