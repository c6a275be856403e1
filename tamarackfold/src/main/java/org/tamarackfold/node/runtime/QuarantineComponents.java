package org.tamarackfold.node.runtime;

import io.undertow.server.HttpHandler;
import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import org.tamarackfold.caller.quarantine.Quarantine;
import org.tamarackfold.endpoint.EndpointTable;
import org.tamarackfold.peer.RecentHosts;
import org.tamarackfold.peer.http.EntryHostMessages;
import org.tamarackfold.peer.http.HttpQuarantineChannel;

/** The quarantine of an entry host, and the messages that it needs. */
final class QuarantineComponents {
    private final Quarantine quarantine;

    QuarantineComponents(HostComponents components, EndpointTable endpoints) {
        RecentHosts hosts =
                new RecentHosts(
                        components.settings().host(),
                        components.hostTable(),
                        components.scheduler());
        quarantine =
                Quarantine.builder()
                        .self(components.settings().host())
                        .channel(
                                new HttpQuarantineChannel(
                                        components.settings().host(),
                                        hosts,
                                        new EntryHostMessages(
                                                components.client(), components.metrics())))
                        .versions(endpoints::versions)
                        .endpointCount(
                                service ->
                                        endpoints.availableSlots(service, System.nanoTime()).size())
                        .scheduler(components.scheduler())
                        .random(components.random())
                        .metrics(components.metrics())
                        .build();
        components.metrics().observeQuarantine(quarantine::quarantinedCount);
    }

    Quarantine quarantine() {
        return quarantine;
    }

    /** Returns the handlers of the messages of other hosts, by path. */
    Map<String, HttpHandler> messageHandlers() {
        return HashMap.of(
                HttpQuarantineChannel.SUSPICIONS_PATH,
                HttpQuarantineChannel.suspicionsHandler(quarantine),
                HttpQuarantineChannel.TRIALS_PATH,
                HttpQuarantineChannel.trialsHandler(quarantine));
    }
}
