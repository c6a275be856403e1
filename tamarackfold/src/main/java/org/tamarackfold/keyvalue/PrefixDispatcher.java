package org.tamarackfold.keyvalue;

import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;

/**
 * Dispatches the items and changes of one watcher to the listeners of several prefixes. One shared
 * watch is used because every pending watch counts as a call to the service.
 */
public final class PrefixDispatcher implements PrefixWatcher.Listener {
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
                        PrefixWatcher.runContained(
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
                                PrefixWatcher.runContained(
                                        prefix, () -> listener.onChange(change)));
    }

    @Override
    public void onConfirmed() {
        listeners.forEach(
                (prefix, listener) -> PrefixWatcher.runContained(prefix, listener::onConfirmed));
    }

    @Override
    public void onReachabilityChanged(boolean reachable) {
        listeners.forEach(
                (prefix, listener) ->
                        PrefixWatcher.runContained(
                                prefix, () -> listener.onReachabilityChanged(reachable)));
    }
}
