package org.tamarackfold.node.runtime;

import io.undertow.server.HttpHandler;
import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import java.time.Duration;
import org.tamarackfold.operator.ReleaseHolder;
import org.tamarackfold.peer.http.EntryHostMessages;
import org.tamarackfold.peer.http.HttpReleaseChannel;
import org.tamarackfold.peer.release.ReleaseConfirmation;
import org.tamarackfold.peer.release.ReleaseExchange;
import org.tamarackfold.peer.release.ReleasePropagation;
import org.tamarackfold.peer.release.RevocationGuard;

/**
 * Components of an entry host that exchange its release with other entry hosts. Without customers
 * in the settings, nothing is exchanged or refused.
 */
final class ReleaseComponents {
    private final HostComponents components;
    private final ReleaseConfirmation confirmation;
    private final RevocationGuard guard;
    private final ReleaseExchange exchange;

    ReleaseComponents(HostComponents components, ReleaseHolder releases) {
        this.components = components;
        confirmation = new ReleaseConfirmation(components.scheduler());
        guard = new RevocationGuard(components.settings().customers(), confirmation);
        exchange =
                new ReleaseExchange(
                        releases,
                        confirmation,
                        components.adapter()::decodeRelease,
                        components.metrics());
        components.metrics().observeReleaseAge(this::ageSeconds);
    }

    private double ageSeconds() {
        return confirmation
                .age()
                .map(age -> age.toNanos() / (double) Duration.ofSeconds(1).toNanos())
                .getOrElse(Double.NaN);
    }

    ReleaseConfirmation confirmation() {
        return confirmation;
    }

    RevocationGuard guard() {
        return guard;
    }

    /** Returns the handlers of the messages of other hosts, by path. */
    Map<String, HttpHandler> messageHandlers() {
        return isEnabled()
                ? HashMap.of(HttpReleaseChannel.PATH, HttpReleaseChannel.handler(exchange))
                : HashMap.empty();
    }

    private boolean isEnabled() {
        return components.settings().customers().isDefined();
    }

    /** Starts to exchange releases, if the settings have customers. */
    void start() {
        if (!isEnabled()) {
            return;
        }
        ReleasePropagation.builder()
                .self(components.settings().host())
                .hostTable(components.hostTable())
                .exchange(exchange)
                .channel(
                        new HttpReleaseChannel(
                                new EntryHostMessages(components.client(), components.metrics())))
                .guard(guard)
                .metrics(components.metrics())
                .scheduler(components.scheduler())
                .random(components.random())
                .build()
                .start();
    }
}
