package org.tamarackfold.peer;

import io.vavr.control.Option;
import java.util.function.Consumer;
import org.tamarackfold.keyvalue.KeyValueService;
import org.tamarackfold.keyvalue.PrefixWatcher;
import org.tamarackfold.log.StructuredLog;

/**
 * Applies changes of the state that hosts share through the key-value service: the layout and the
 * registrations of hosts. A malformed item is logged and ignored.
 */
public final class SharedStateListener implements PrefixWatcher.Listener {
    private static final StructuredLog LOG = StructuredLog.of("members");

    private final HostTable hostTable;
    private final SharedStateCodec codec;
    private final Consumer<LayoutHolder.VersionedLayout> onLayout;
    private final String ownKey;
    private final Runnable onOwnKeyRemoved;

    /**
     * Creates a listener.
     *
     * @param hostTable the table that receives the registered hosts
     * @param codec decodes the layout and the registrations
     * @param onLayout receives each layout that is read, which may be an old one
     * @param ownKey the key under which this host is registered
     * @param onOwnKeyRemoved runs when that key was removed or is missing in a listing
     */
    public SharedStateListener(
            HostTable hostTable,
            SharedStateCodec codec,
            Consumer<LayoutHolder.VersionedLayout> onLayout,
            String ownKey,
            Runnable onOwnKeyRemoved) {
        this.hostTable = hostTable;
        this.codec = codec;
        this.onLayout = onLayout;
        this.ownKey = ownKey;
        this.onOwnKeyRemoved = onOwnKeyRemoved;
    }

    @Override
    public void onListing(KeyValueService.Listing listing) {
        hostTable.clear();
        listing.items().forEach(this::applyItem);
        if (!listing.items().exists(item -> item.key().equals(ownKey))) {
            onOwnKeyRemoved.run();
        }
    }

    @Override
    public void onChange(KeyValueService.Change change) {
        switch (change) {
            case KeyValueService.Change.Written(KeyValueService.Item item) -> applyItem(item);
            case KeyValueService.Change.Removed(String key, long revision) -> {
                hostTable.remove(key);
                LOG.event("removed").with("key", key).with("revision", revision).info();
                if (key.equals(ownKey)) {
                    onOwnKeyRemoved.run();
                }
            }
        }
    }

    private void applyItem(KeyValueService.Item item) {
        try {
            if (item.key().equals(SharedKeys.LAYOUT)) {
                onLayout.accept(LayoutHolder.VersionedLayout.decode(item, codec));
            } else if (item.key().startsWith(SharedKeys.STORAGE_HOSTS)) {
                hostTable.put(item.key(), codec.decodeStorageHost(item.value()));
            } else if (item.key().startsWith(SharedKeys.ENTRY_HOSTS)) {
                hostTable.put(item.key(), codec.decodeEntryHost(item.value()));
            }
        } catch (IllegalArgumentException e) {
            LOG.event("item_malformed")
                    .with("key", item.key())
                    .with("revision", item.revision())
                    .with("reason", Option.of(e.getMessage()).getOrElse("unknown"))
                    .warn();
        }
    }
}
