package org.tamarackfold.keyvalue;

import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;

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
                        listener.onListing(
                                new KeyValueService.Listing(
                                        listing.items()
                                                .filter(item -> item.key().startsWith(prefix)),
                                        listing.asOf())));
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
                .values()
                .forEach(listener -> listener.onChange(change));
    }

    @Override
    public void onReachabilityChanged(boolean reachable) {
        listeners.values().forEach(listener -> listener.onReachabilityChanged(reachable));
    }
}
