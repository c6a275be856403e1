package org.tamarackfold.node.runtime;

import io.undertow.server.HttpHandler;
import io.vavr.control.Option;
import java.time.Duration;
import org.tamarackfold.keyvalue.PrefixDispatcher;
import org.tamarackfold.keyvalue.PrefixWatcher;
import org.tamarackfold.keyvalue.WatchTiming;
import org.tamarackfold.keyvalue.relay.RelayedKeyValueService;
import org.tamarackfold.node.EntryWatchRoles;
import org.tamarackfold.peer.http.EntryHostMessages;
import org.tamarackfold.peer.http.HttpChangeSources;

/** The watch of an entry host that follows others or is followed by them. */
final class ChangeRelay {
    private final HostComponents components;
    private final RelayedKeyValueService service;

    ChangeRelay(HostComponents components) {
        this.components = components;
        this.service =
                RelayedKeyValueService.builder()
                        .self(components.settings().host())
                        .service(components.keyValue())
                        .sources(
                                new HttpChangeSources(
                                        new EntryHostMessages(
                                                components.client(), components.metrics())))
                        .role(
                                new EntryWatchRoles(
                                        components.settings().host(),
                                        components.settings().zone(),
                                        components.hostTable()))
                        .onSwitched(components.metrics()::recordWatchSwitch)
                        .scheduler(components.scheduler())
                        .random(components.random())
                        .build();
    }

    /** Returns the handler of the questions of other hosts, at {@link HttpChangeSources#PATH}. */
    HttpHandler handler() {
        return HttpChangeSources.handler(service::changesSince);
    }

    /** Returns when the service last confirmed what the listeners know; none before that. */
    Option<Long> confirmedAtNanos() {
        return service.confirmedAtNanos();
    }

    void startWatch(PrefixDispatcher dispatcher) {
        new PrefixWatcher(
                        service,
                        "",
                        dispatcher,
                        this::watchTiming,
                        components.scheduler(),
                        components.random())
                .start();
    }

    /** A host that follows does not gather changes: it asks at a fixed rate. */
    private WatchTiming watchTiming() {
        WatchTiming timing = components.watchTiming();
        return service.isFollowing() ? new WatchTiming(timing.longPoll(), Duration.ZERO) : timing;
    }
}
