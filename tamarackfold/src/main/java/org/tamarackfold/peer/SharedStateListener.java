package org.tamarackfold.peer;

import io.vavr.control.Option;
import java.util.function.Consumer;
import org.tamarackfold.keyvalue.KeyValueService;
import org.tamarackfold.keyvalue.PrefixWatcher;
import org.tamarackfold.log.StructuredLog;

/** Applies what hosts share through the key-value service. */
public final class SharedStateListener implements PrefixWatcher.Listener {
    private static final StructuredLog LOG = StructuredLog.of("members");

    private final MemberTable members;
    private final SharedStateCodec codec;
    private final Consumer<LayoutBook.Stored> onLayout;
    private final String ownKey;
    private final Runnable onOwnKeyRemoved;

    /**
     * Creates a listener.
     *
     * @param members receives the registered hosts
     * @param codec decodes them
     * @param onLayout receives the layout
     * @param ownKey the registration of this host
     * @param onOwnKeyRemoved runs when that registration is missing
     */
    public SharedStateListener(
            MemberTable members,
            SharedStateCodec codec,
            Consumer<LayoutBook.Stored> onLayout,
            String ownKey,
            Runnable onOwnKeyRemoved) {
        this.members = members;
        this.codec = codec;
        this.onLayout = onLayout;
        this.ownKey = ownKey;
        this.onOwnKeyRemoved = onOwnKeyRemoved;
    }

    @Override
    public void onListing(KeyValueService.Listing listing) {
        members.clear();
        listing.items().forEach(this::apply);
        if (!listing.items().exists(item -> item.key().equals(ownKey))) {
            onOwnKeyRemoved.run();
        }
    }

    @Override
    public void onChange(KeyValueService.Change change) {
        switch (change) {
            case KeyValueService.Change.Written(KeyValueService.Item item) -> apply(item);
            case KeyValueService.Change.Removed(String key, long revision) -> {
                members.remove(key);
                LOG.event("removed").with("key", key).with("revision", revision).info();
                if (key.equals(ownKey)) {
                    onOwnKeyRemoved.run();
                }
            }
        }
    }

    private void apply(KeyValueService.Item item) {
        try {
            if (item.key().equals(SharedKeys.LAYOUT)) {
                onLayout.accept(LayoutBook.Stored.decode(item, codec));
            } else if (item.key().startsWith(SharedKeys.STORAGE_HOSTS)) {
                members.put(item.key(), codec.decodeMember(item.value()));
            } else if (item.key().startsWith(SharedKeys.ENTRY_HOSTS)) {
                members.put(item.key(), codec.decodeEntryHost(item.value()));
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
