package org.tamarackfold.keyvalue;

import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import org.tamarackfold.log.StructuredLog;

/**
 * Dispatches the items and changes of one watcher to the listeners of several prefixes. One shared
 * watch is used because every pending watch counts as a call to the service.
 */
public final class PrefixDispatcher implements PrefixWatcher.Listener {
    private static final StructuredLog LOG = StructuredLog.of("keyvalue");

    private Map<String, PrefixWatcher.Listener> listeners = LinkedHashMap.empty();

    /** Adds the listener of a prefix. Call before the watcher is started; not thread-safe. */
    public PrefixDispatcher add(String prefix, PrefixWatcher.Listener listener) {
        listeners = listeners.put(prefix, listener);
        return this;
    }

    @Override
    public void onListing(KeyValueService.Listing listing) {
        listeners.forEach(
                (prefix, listener) ->
                        notifyListener(
                                prefix,
                                () ->
                                        listener.onListing(
                                                new KeyValueService.Listing(
                                                        itemsUnder(prefix, listing),
                                                        listing.asOf()))));
    }

    private static Vector<KeyValueService.Item> itemsUnder(
            String prefix, KeyValueService.Listing listing) {
        return listing.items().filter(item -> item.key().startsWith(prefix));
    }

    @Override
    public void onChange(KeyValueService.Change change) {
        String key =
                switch (change) {
                    case KeyValueService.Change.Written(KeyValueService.Item item) -> item.key();
                    case KeyValueService.Change.Removed(String removedKey, long _) -> removedKey;
                };
        listeners
                .filterKeys(key::startsWith)
                .forEach(
                        (prefix, listener) ->
                                notifyListener(prefix, () -> listener.onChange(change)));
    }

    @Override
    public void onReachabilityChanged(boolean reachable) {
        listeners.forEach(
                (prefix, listener) ->
                        notifyListener(prefix, () -> listener.onReachabilityChanged(reachable)));
    }

    /** Contains an unexpected error of one listener: the others and the watch itself continue. */
    private static void notifyListener(String prefix, Runnable notification) {
        try {
            notification.run();
        } catch (RuntimeException e) {
            LOG.event("listener_failed").with("prefix", prefix).with("reason", e).warn();
        }
    }
}
