package org.tamarackfold.endpoint;

/** Why a connection to an endpoint broke while a call was under way there. */
public sealed interface BreakCause {
    /**
     * The process of the endpoint has ended.
     *
     * @param endpoint its registration at that time
     */
    record Ended(EndpointRecord endpoint) implements BreakCause {}

    /** The endpoint is alive: it has closed this connection, and the response is lost. */
    record Alive() implements BreakCause {}

    /** Nothing answers at the address: the path is cut, or the machine of the endpoint is down. */
    record Unreached() implements BreakCause {}

    /** The endpoint was draining, leaving or no longer registered, so that it may end any time. */
    record Left() implements BreakCause {}

    /** This host did not run for some time; what it finds now may have had any cause. */
    record HostDelayed() implements BreakCause {}

    /** Returns the name of this cause in logs and metric labels. */
    default String label() {
        return switch (this) {
            case Ended(EndpointRecord _) -> "ended";
            case Alive() -> "alive";
            case Unreached() -> "unreached";
            case Left() -> "left";
            case HostDelayed() -> "host_delayed";
        };
    }
}
