package org.tamarackfold.node.runtime;

import io.undertow.server.HttpHandler;
import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.control.Option;
import java.util.function.Supplier;
import org.tamarackfold.endpoint.cost.LearnedPlacement;
import org.tamarackfold.endpoint.cost.LoadAggregate;
import org.tamarackfold.endpoint.cost.PlacementPolicy;
import org.tamarackfold.endpoint.share.CapacityView;
import org.tamarackfold.endpoint.share.ShareTable;
import org.tamarackfold.node.EntryFleet;
import org.tamarackfold.peer.LoadReporter;
import org.tamarackfold.peer.http.EntryHostMessages;
import org.tamarackfold.peer.http.HttpLoadChannel;

/** The placement policy of an entry host, and the exchange of load reports that it needs. */
final class PlacementComponents {
    /** Placements that an aggregating host passes on in a millisecond, at the very most. */
    private static final long SEQUENCES_PER_MILLI = 1_000;

    private final Supplier<PlacementPolicy> policy;
    private final Map<String, HttpHandler> messageHandlers;

    private PlacementComponents(
            Supplier<PlacementPolicy> policy, Map<String, HttpHandler> messageHandlers) {
        this.policy = policy;
        this.messageHandlers = messageHandlers;
    }

    /**
     * Creates the components that the settings of the host enable.
     *
     * @param capacity tells the capacity of services; asked for after the start of the host only
     */
    static PlacementComponents of(
            HostComponents components, EntryFleet fleet, CapacityView capacity) {
        return components.settings().learnedPlacement()
                ? learned(components, fleet, capacity)
                : new PlacementComponents(PlacementPolicy.LeastInFlight::new, HashMap.empty());
    }

    private static PlacementComponents learned(
            HostComponents components, EntryFleet fleet, CapacityView capacity) {
        boolean fairShares = components.settings().fairShares();
        LearnedPlacement placement =
                new LearnedPlacement(
                        components.settings().host(), Option.when(fairShares, ShareTable::new));
        LoadAggregate aggregate =
                new LoadAggregate(
                        System.currentTimeMillis() * SEQUENCES_PER_MILLI,
                        Option.when(fairShares, capacity));
        new LoadReporter(
                components.settings().host(),
                fleet::activeHosts,
                placement,
                aggregate,
                new HttpLoadChannel(
                        new EntryHostMessages(components.client(), components.metrics())),
                components.scheduler(),
                components.random());
        int minimumHosts = components.settings().placementMinimumHosts();
        return new PlacementComponents(
                () ->
                        components.hostTable().entryHosts().size() < minimumHosts
                                ? new PlacementPolicy.LeastInFlight()
                                : placement,
                HashMap.of(HttpLoadChannel.PATH, HttpLoadChannel.handler(aggregate)));
    }

    /** Returns the rule for the hosts that are registered when it is asked for. */
    Supplier<PlacementPolicy> policy() {
        return policy;
    }

    /** Returns the handlers of the messages between entry hosts, by path. */
    Map<String, HttpHandler> messageHandlers() {
        return messageHandlers;
    }
}
