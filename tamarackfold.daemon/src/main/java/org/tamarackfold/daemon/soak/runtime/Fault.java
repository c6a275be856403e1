package org.tamarackfold.daemon.soak.runtime;

import org.tamarackfold.daemon.soak.http.LoopbackProxy;

/** A fault that is injected from outside of the processes. Times are in milliseconds. */
sealed interface Fault {
    /** SIGTERM, SIGKILL after the grace period, and a new start. */
    record Stop(HostProcess host) implements Fault {}

    /** SIGHUP after a change of the settings file. */
    record Reload(HostProcess host) implements Fault {}

    /** A new release. */
    record NewRelease() implements Fault {}

    /**
     * An endpoint leaves and another one takes its place.
     *
     * @param reported whether it reports draining; otherwise its registration is removed
     * @param softwareVersion the version of its successor
     */
    record Replace(Fleet.Slot slot, boolean reported, String softwareVersion) implements Fault {}

    /** SIGKILL, and a new start after a pause. */
    record Kill(HostProcess host, long pauseMillis) implements Fault {}

    /** SIGSTOP, and SIGCONT after a pause. */
    record Freeze(HostProcess host, long pauseMillis) implements Fault {}

    /** SIGKILL of all hosts at the same moment, and a new start. */
    record KillAll() implements Fault {}

    /**
     * A condition of the connections through a proxy.
     *
     * @param scope what the log calls the proxy
     * @param resetAtEnd whether open connections are reset at the end
     */
    record Disconnect(
            String scope,
            LoopbackProxy proxy,
            LoopbackProxy.Condition condition,
            long pauseMillis,
            boolean resetAtEnd)
            implements Fault {}

    /** The key-value service answers no host. */
    record SilentKeyValueService(long pauseMillis) implements Fault {}

    /**
     * Returns whether operators announce the work; other faults excuse what happens beside them.
     */
    default boolean planned() {
        return switch (this) {
            case Stop(var _), Reload(var _), NewRelease() -> true;
            case Replace(var _, var _, var _) -> true;
            case Kill(var _, var _), Freeze(var _, var _), KillAll() -> false;
            case Disconnect(var _, var _, var _, var _, var _) -> false;
            case SilentKeyValueService(var _) -> false;
        };
    }

    /** Returns the host or connection concerned, for the log and the excuses. */
    default String scope() {
        return switch (this) {
            case Stop(HostProcess host) -> host.id().value();
            case Reload(HostProcess host) -> host.id() + " settings";
            case NewRelease() -> "release";
            case Replace(Fleet.Slot slot, var _, var _) -> slot.endpoint.id().value();
            case Kill(HostProcess host, var _) -> host.id().value();
            case Freeze(HostProcess host, var _) -> host.id().value();
            case KillAll() -> "all hosts";
            case Disconnect(String scope, var _, var _, var _, var _) -> scope;
            case SilentKeyValueService(var _) -> "key-value service";
        };
    }
}
