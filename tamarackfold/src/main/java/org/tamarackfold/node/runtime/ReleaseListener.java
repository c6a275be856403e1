package org.tamarackfold.node.runtime;

import io.vavr.control.Either;
import org.tamarackfold.adapter.PlatformAdapter;
import org.tamarackfold.keyvalue.KeyValueService;
import org.tamarackfold.keyvalue.PrefixWatcher;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.operator.Release;
import org.tamarackfold.operator.ReleaseHolder;
import org.tamarackfold.operator.WrittenRelease;

/** Decodes the releases that operators write and makes the latest version current. */
final class ReleaseListener implements PrefixWatcher.Listener {
    private static final StructuredLog LOG = StructuredLog.of("operator");

    private final PlatformAdapter adapter;
    private final ReleaseHolder releases;
    private final Runnable onConfirmed;

    /**
     * Creates a listener.
     *
     * @param onConfirmed runs when the service has confirmed that it holds no newer release
     */
    ReleaseListener(PlatformAdapter adapter, ReleaseHolder releases, Runnable onConfirmed) {
        this.adapter = adapter;
        this.releases = releases;
        this.onConfirmed = onConfirmed;
    }

    @Override
    public void onConfirmed() {
        onConfirmed.run();
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
        boolean adopted = releases.adoptIfNewer(new WrittenRelease(release.get(), item.value()));
        LOG.event("release")
                .with("version", release.get().version())
                .with("revision", item.revision())
                .with("adopted", adopted)
                .info();
    }
}
