package org.tamarackfold.node.runtime;

import io.vavr.collection.Vector;
import java.time.Duration;
import org.tamarackfold.id.HostId;
import org.tamarackfold.keyvalue.KeyValueService;
import org.tamarackfold.keyvalue.PrefixWatcher;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.peer.Member;

/** Follows the requests of operators to empty storage hosts and reports on this one. */
final class Retirement implements PrefixWatcher.Listener {
    private static final StructuredLog LOG = StructuredLog.of("retirement");

    private static final Duration RETRY = Duration.ofMillis(300);

    private enum Progress {
        NONE,
        RUNNING,
        COMPLETED
    }

    private final HostParts parts;
    private final Member self;
    private boolean requested;
    private Progress reported = Progress.NONE;

    Retirement(HostParts parts, Member self) {
        this.parts = parts;
        this.self = self;
    }

    @Override
    public void onListing(KeyValueService.Listing listing) {
        listing.items().forEach(item -> change(item.key(), true));
    }

    @Override
    public void onChange(KeyValueService.Change change) {
        switch (change) {
            case KeyValueService.Change.Written(KeyValueService.Item item) ->
                    change(item.key(), true);
            case KeyValueService.Change.Removed(String key, long _) -> change(key, false);
        }
    }

    private void change(String key, boolean present) {
        String prefix = parts.adapter().retirementPrefix();
        if (!key.startsWith(prefix)) {
            return;
        }
        HostId host = new HostId(key.substring(prefix.length()));
        LOG.event("retirement").with("host", host).with("requested", present).info();
        parts.members().setRetiring(host, present);
        if (host.equals(self.host())) {
            requested = present;
            reported = Progress.NONE;
            report();
        }
    }

    /** A new layout is in force. */
    void layoutChanged() {
        report();
    }

    /** Tells whether this host is a member of any shard. */
    boolean holdsShards() {
        return parts.layouts()
                .current()
                .exists(s -> s.layout().views().exists(v -> v.contains(self.store())));
    }

    private void report() {
        if (!requested || reported == Progress.COMPLETED) {
            return;
        }
        boolean known = parts.layouts().current().isDefined();
        Progress now = known && !holdsShards() ? Progress.COMPLETED : Progress.RUNNING;
        if (now == reported) {
            return;
        }
        reported = now;
        LOG.event("report").with("progress", now).info();
        KeyValueService.Put status =
                parts.adapter().retirementStatus(self.host(), now == Progress.COMPLETED);
        parts.keyValue()
                .write(Vector.empty(), Vector.of(status), Vector.empty())
                .thenAccept(
                        result -> {
                            if (result.isLeft()) {
                                reported = Progress.NONE;
                                parts.scheduler().after(RETRY, this::report);
                            }
                        });
    }
}
