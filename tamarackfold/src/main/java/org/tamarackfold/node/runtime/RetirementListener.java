package org.tamarackfold.node.runtime;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import java.time.Duration;
import org.tamarackfold.id.HostId;
import org.tamarackfold.keyvalue.KeyValueService;
import org.tamarackfold.keyvalue.PrefixWatcher;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.peer.StorageHost;
import org.tamarackfold.peer.View;

/**
 * Marks the storage hosts that operators ask to retire, and reports the progress of this host's own
 * retirement to the key-value service.
 */
final class RetirementListener implements PrefixWatcher.Listener {
    private static final StructuredLog LOG = StructuredLog.of("retirement");

    /** Delay before a failed write of the status is retried. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(300);

    private enum RetirementStatus {
        NONE,
        RUNNING,
        COMPLETED
    }

    private final HostComponents components;
    private final StorageHost self;
    private Set<String> requestKeys = HashSet.empty();
    private boolean retirementRequested;
    private RetirementStatus reportedStatus = RetirementStatus.NONE;

    /** Only one write at a time, so that an older status does not replace a newer one. */
    private boolean writeInProgress;

    RetirementListener(HostComponents components, StorageHost self) {
        this.components = components;
        this.self = self;
    }

    @Override
    public void onListing(KeyValueService.Listing listing) {
        Set<String> listedKeys = listing.items().map(KeyValueService.Item::key).toSet();
        // A request may have been withdrawn while changes were missed.
        requestKeys.removeAll(listedKeys).forEach(key -> onRequestChanged(key, false));
        listedKeys.forEach(key -> onRequestChanged(key, true));
    }

    @Override
    public void onChange(KeyValueService.Change change) {
        switch (change) {
            case KeyValueService.Change.Written(KeyValueService.Item item) ->
                    onRequestChanged(item.key(), true);
            case KeyValueService.Change.Removed(String key, long _) -> onRequestChanged(key, false);
        }
    }

    private void onRequestChanged(String key, boolean requested) {
        String prefix = components.adapter().retirementPrefix();
        if (!key.startsWith(prefix)) {
            return;
        }
        requestKeys = requested ? requestKeys.add(key) : requestKeys.remove(key);
        HostId host = new HostId(key.substring(prefix.length()));
        LOG.event("request_changed").with("host", host).with("requested", requested).info();
        components.hostTable().setDraining(host, requested);
        if (host.equals(self.host())) {
            retirementRequested = requested;
            reportedStatus = RetirementStatus.NONE;
            reportStatus();
        }
    }

    /** Called when a new layout is read; reports the status if it has changed. */
    void onLayoutChanged() {
        reportStatus();
    }

    /**
     * Returns whether this host is a member of any shard of the current layout, with its store or
     * with one that it has lost: until a lost store is replaced, its shards lack a copy.
     */
    boolean holdsShards() {
        return components
                .layouts()
                .current()
                .exists(
                        versioned ->
                                versioned
                                        .layout()
                                        .views()
                                        .flatMap(View::members)
                                        .exists(member -> member.host().equals(self.host())));
    }

    private void reportStatus() {
        if (!retirementRequested
                || writeInProgress
                || reportedStatus == RetirementStatus.COMPLETED) {
            return;
        }
        boolean layoutKnown = components.layouts().current().isDefined();
        RetirementStatus status =
                layoutKnown && !holdsShards()
                        ? RetirementStatus.COMPLETED
                        : RetirementStatus.RUNNING;
        if (status == reportedStatus) {
            return;
        }
        writeInProgress = true;
        LOG.event("status_changed").with("status", status).info();
        KeyValueService.Put put =
                components
                        .adapter()
                        .retirementStatus(self.host(), status == RetirementStatus.COMPLETED);
        components
                .keyValue()
                .write(Vector.empty(), Vector.of(put), Vector.empty())
                .thenAccept(result -> onStatusWritten(status, result.isRight()));
    }

    /** Reports again after a failure, or when the status has changed during the write. */
    private void onStatusWritten(RetirementStatus status, boolean written) {
        writeInProgress = false;
        if (written) {
            reportedStatus = status;
            reportStatus();
            return;
        }
        components.scheduler().after(RETRY_DELAY, this::reportStatus);
    }
}
