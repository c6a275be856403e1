package org.tamarackfold.daemon.soak.runtime;

import java.util.List;
import org.tamarackfold.daemon.soak.FaultTimeline;
import org.tamarackfold.daemon.soak.http.LoopbackProxy;

/** A fault that is injected from outside of the processes. Pauses are in milliseconds. */
sealed interface Fault {
    /** Work that operators announce. */
    sealed interface Planned extends Fault {}

    /** A disruption, which excuses what happens beside it. */
    sealed interface Unplanned extends Fault {}

    /** SIGTERM, SIGKILL after the grace period, and a new start. */
    record Stop(HostProcess host) implements Planned {}

    /** SIGHUP after a change of the settings file. */
    record Reload(HostProcess host) implements Planned {}

    /** A new release, which replaces a key of each customer. */
    record NewRelease() implements Planned {}

    /**
     * An endpoint leaves and another one takes its place.
     *
     * @param reported whether it reports draining; otherwise its registration is removed
     */
    record Replace(Fleet.Slot slot, boolean reported, String softwareVersion) implements Planned {}

    /** SIGKILL of hosts at the same moment, and a new start after a pause; disks are kept. */
    record Kill(List<HostProcess> hosts, long pauseMillis) implements Unplanned {}

    /** SIGSTOP, and SIGCONT after a pause. */
    record Freeze(HostProcess host, long pauseMillis) implements Unplanned {}

    /**
     * A condition of connections.
     *
     * @param peers the two sides, for the log
     * @param resetAtEnd whether open connections are reset at the end
     */
    record Disconnect(
            String peers,
            List<LoopbackProxy> proxies,
            LoopbackProxy.Condition condition,
            long pauseMillis,
            boolean resetAtEnd)
            implements Unplanned {}

    /** Entry hosts lose their links to all endpoints, while callers and other hosts reach them. */
    record CutOff(List<HostProcess> hosts, LoopbackProxy.Condition condition, long pauseMillis)
            implements Unplanned {}

    /** How the key-value service fails for a host. */
    sealed interface Rejection {
        /** The service answers all calls with a status. */
        record Status(int status) implements Rejection {}

        /** The connections to the service are disturbed. */
        record Connections(LoopbackProxy.Condition condition) implements Rejection {}
    }

    /** The key-value service fails for some entry hosts, and keys are withdrawn meanwhile. */
    record WithdrawUnseen(List<HostProcess> hosts, Rejection rejection) implements Unplanned {}

    /** Returns what this fault excuses. */
    default FaultTimeline.Kind kind() {
        return switch (this) {
            case Planned _ -> FaultTimeline.Kind.PLANNED;
            case CutOff _ -> FaultTimeline.Kind.CUT;
            case WithdrawUnseen _ -> FaultTimeline.Kind.KEY_VALUE;
            case Freeze _, Disconnect _ -> FaultTimeline.Kind.HOLD;
            case Unplanned _ -> FaultTimeline.Kind.UNPLANNED;
        };
    }

    /** Returns the host or connection concerned, for the log and the excuses. */
    default String scope() {
        return switch (this) {
            case Stop(HostProcess host) -> host.id().value();
            case Reload(HostProcess host) -> host.id() + " settings";
            case NewRelease() -> "release";
            case Replace(Fleet.Slot slot, var _, var _) -> slot.endpoint.id().value();
            case Kill(List<HostProcess> hosts, var _) ->
                    hosts.size() == 1 ? hosts.getFirst().id().value() : FaultTimeline.ALL_HOSTS;
            case Freeze(HostProcess host, var _) -> host.id().value();
            case CutOff(List<HostProcess> hosts, var condition, var _) ->
                    hosts.stream().map(HostProcess::id).toList() + " and endpoints " + condition;
            case WithdrawUnseen(List<HostProcess> hosts, Rejection rejection) ->
                    hosts.stream().map(HostProcess::id).toList() + " and key-value " + rejection;
            case Disconnect fault -> fault.peers() + " " + fault.condition();
        };
    }
}
