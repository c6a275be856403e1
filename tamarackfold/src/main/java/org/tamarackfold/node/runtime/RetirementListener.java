package org.tamarackfold.node.runtime;

import io.vavr.collection.Vector;
import java.time.Duration;
import org.tamarackfold.id.HostId;
import org.tamarackfold.keyvalue.KeyValueService;
import org.tamarackfold.keyvalue.PrefixWatcher;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.peer.StorageHost;

/**
 * Marks the storage hosts that operators ask to retire, and reports the progress of this host's own
 * retirement to the key-value service.
 */
final class RetirementListener implements PrefixWatcher.Listener {
    private static final StructuredLog LOG = StructuredLog.of("retirement");

    /** Delay before a failed write of the status is retried. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(300);

    private enum Progress {
        NONE,
        RUNNING,
        COMPLETED
    }

    private final HostComponents components;
    private final StorageHost self;
    private boolean retirementRequested;
    private Progress reportedProgress = Progress.NONE;

    RetirementListener(HostComponents components, StorageHost self) {
        this.components = components;
        this.self = self;
    }

    @Override
    public void onListing(KeyValueService.Listing listing) {
        listing.items().forEach(item -> requestChanged(item.key(), true));
    }

    @Override
    public void onChange(KeyValueService.Change change) {
        switch (change) {
            case KeyValueService.Change.Written(KeyValueService.Item item) ->
                    requestChanged(item.key(), true);
            case KeyValueService.Change.Removed(String key, long _) -> requestChanged(key, false);
        }
    }

    private void requestChanged(String key, boolean present) {
        String prefix = components.adapter().retirementPrefix();
        if (!key.startsWith(prefix)) {
            return;
        }
        HostId host = new HostId(key.substring(prefix.length()));
        LOG.event("request_changed").with("host", host).with("requested", present).info();
        components.hostTable().setRetiring(host, present);
        if (host.equals(self.host())) {
            retirementRequested = present;
            reportedProgress = Progress.NONE;
            reportProgress();
        }
    }

    /** Reports progress again, because the shards of this host may have changed. */
    void onLayoutChanged() {
        reportProgress();
    }

    /** Tells whether this host is a member of any shard of the current layout. */
    boolean holdsShards() {
        return components
                .layouts()
                .current()
                .exists(
                        versioned ->
                                versioned
                                        .layout()
                                        .views()
                                        .exists(view -> view.contains(self.store())));
    }

    private void reportProgress() {
        if (!retirementRequested || reportedProgress == Progress.COMPLETED) {
            return;
        }
        boolean layoutKnown = components.layouts().current().isDefined();
        Progress progress = layoutKnown && !holdsShards() ? Progress.COMPLETED : Progress.RUNNING;
        if (progress == reportedProgress) {
            return;
        }
        reportedProgress = progress;
        LOG.event("status_changed").with("progress", progress).info();
        KeyValueService.Put status =
                components.adapter().retirementStatus(self.host(), progress == Progress.COMPLETED);
        components
                .keyValue()
                .write(Vector.empty(), Vector.of(status), Vector.empty())
                .thenAccept(
                        result -> {
                            if (result.isLeft()) {
                                reportedProgress = Progress.NONE;
                                components.scheduler().after(RETRY_DELAY, this::reportProgress);
                            }
                        });
    }
}
