package org.tamarackfold.node.runtime;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.HashSet;
import java.util.Set;
import org.tamarackfold.adapter.PlatformAdapter;
import org.tamarackfold.endpoint.EndpointRecord;
import org.tamarackfold.endpoint.EndpointRegistry;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.keyvalue.KeyValueService;
import org.tamarackfold.keyvalue.PrefixWatcher;
import org.tamarackfold.log.StructuredLog;

/** Decodes the endpoint registrations in the key-value service and passes them to the registry. */
final class EndpointListener implements PrefixWatcher.Listener {
    private static final StructuredLog LOG = StructuredLog.of("endpoint");

    private final PlatformAdapter adapter;
    private final EndpointRegistry registry;
    private volatile boolean hasListing;

    EndpointListener(PlatformAdapter adapter, EndpointRegistry registry) {
        this.adapter = adapter;
        this.registry = registry;
    }

    /**
     * Returns whether the registrations have been listed at least once; may be called from any
     * thread.
     */
    boolean hasListing() {
        return hasListing;
    }

    @Override
    public void onListing(KeyValueService.Listing listing) {
        Set<EndpointId> registeredIds = new HashSet<>();
        for (KeyValueService.Item item : listing.items()) {
            endpointOf(item.key())
                    .peek(
                            id -> {
                                apply(id, item);
                                registeredIds.add(id);
                            });
        }
        registry.onListing(registeredIds);
        hasListing = true;
    }

    @Override
    public void onChange(KeyValueService.Change change) {
        switch (change) {
            case KeyValueService.Change.Written(KeyValueService.Item item) ->
                    endpointOf(item.key()).peek(id -> apply(id, item));
            case KeyValueService.Change.Removed(String key, long _) ->
                    endpointOf(key).peek(registry::onRemoved);
        }
    }

    @Override
    public void onReachabilityChanged(boolean reachable) {
        registry.onServiceReachabilityChanged(reachable);
    }

    /** Returns the endpoint that a key names; none for a key of another writer. */
    private Option<EndpointId> endpointOf(String key) {
        try {
            return Option.some(adapter.endpointOf(key));
        } catch (IllegalArgumentException e) {
            LOG.event("registration_malformed")
                    .with("key", key)
                    .with("reason", e.getMessage())
                    .warn();
            return Option.none();
        }
    }

    private void apply(EndpointId id, KeyValueService.Item item) {
        Either<String, EndpointRecord> decoded = adapter.decodeEndpoint(item.key(), item.value());
        if (decoded.isRight()) {
            registry.onRegistered(decoded.get());
            return;
        }
        LOG.event("registration_malformed")
                .with("key", item.key())
                .with("revision", item.revision())
                .with("reason", decoded.getLeft())
                .warn();
        registry.onMalformed(id);
    }
}
