package org.tamarackfold.node.runtime;

import io.undertow.server.HttpHandler;
import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.control.Option;
import java.time.InstantSource;
import org.tamarackfold.caller.quarantine.Quarantine;
import org.tamarackfold.caller.quarantine.SuspicionKey;
import org.tamarackfold.caller.quarantine.SuspicionReport;
import org.tamarackfold.endpoint.EndpointTable;
import org.tamarackfold.keyvalue.PrefixWatcher;
import org.tamarackfold.peer.QuarantineRecords;
import org.tamarackfold.peer.RecentHosts;
import org.tamarackfold.peer.SharedKeys;
import org.tamarackfold.peer.http.EntryHostMessages;
import org.tamarackfold.peer.http.HttpQuarantineChannel;

/** The quarantine of an entry host, and the messages that it needs. */
final class QuarantineComponents {
    private final Quarantine quarantine;
    private final QuarantineRecords records;

    QuarantineComponents(HostComponents components, EndpointTable endpoints) {
        RecentHosts hosts =
                new RecentHosts(
                        components.settings().host(),
                        components.hostTable(),
                        components.scheduler());
        records =
                new QuarantineRecords(
                        components.keyValue(),
                        this::onRecord,
                        this::quarantined,
                        components.scheduler(),
                        InstantSource.system(),
                        components.random());
        quarantine =
                Quarantine.builder()
                        .recorder(records)
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

    private void onRecord(SuspicionReport report) {
        quarantine.onRecord(report);
    }

    private Option<SuspicionReport> quarantined(SuspicionKey key) {
        return quarantine.quarantined(key);
    }

    /** Returns the listener for {@link SharedKeys#QUARANTINES}. */
    PrefixWatcher.Listener recordListener() {
        return records;
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
