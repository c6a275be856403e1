package org.tamarackfold.node.runtime;

import io.vavr.control.Either;
import org.tamarackfold.adapter.PlatformAdapter;
import org.tamarackfold.keyvalue.KeyValueService;
import org.tamarackfold.keyvalue.PrefixWatcher;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.operator.Release;
import org.tamarackfold.operator.ReleaseHolder;

/** Decodes the releases that operators write and makes the latest version current. */
final class ReleaseListener implements PrefixWatcher.Listener {
    private static final StructuredLog LOG = StructuredLog.of("operator");

    private final PlatformAdapter adapter;
    private final ReleaseHolder releases;

    ReleaseListener(PlatformAdapter adapter, ReleaseHolder releases) {
        this.adapter = adapter;
        this.releases = releases;
    }

    @Override
    public void onListing(KeyValueService.Listing listing) {
        listing.items().forEach(this::apply);
    }

    @Override
    public void onChange(KeyValueService.Change change) {
        if (change instanceof KeyValueService.Change.Written(KeyValueService.Item item)) {
            apply(item);
        }
    }

    private void apply(KeyValueService.Item item) {
        if (!item.key().equals(adapter.releaseKey())) {
            return;
        }
        Either<String, Release> release = adapter.decodeRelease(item.value());
        if (release.isLeft()) {
            LOG.event("release_malformed")
                    .with("revision", item.revision())
                    .with("reason", release.getLeft())
                    .warn();
            return;
        }
        boolean adopted = releases.adoptIfNewer(release.get());
        LOG.event("release")
                .with("version", release.get().version())
                .with("revision", item.revision())
                .with("adopted", adopted)
                .info();
    }
}
