package org.tamarackfold.node.runtime;

import io.vavr.control.Either;
import java.util.HashSet;
import java.util.Set;
import org.tamarackfold.adapter.PlatformAdapter;
import org.tamarackfold.endpoint.EndpointRecord;
import org.tamarackfold.endpoint.EndpointRegistry;
import org.tamarackfold.endpoint.EndpointTable;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.keyvalue.KeyValueService;
import org.tamarackfold.keyvalue.PrefixWatcher;
import org.tamarackfold.log.StructuredLog;

/** Applies the registrations of endpoints. */
final class EndpointListener implements PrefixWatcher.Listener {
    private static final StructuredLog LOG = StructuredLog.of("endpoint");

    private final PlatformAdapter adapter;
    private final EndpointTable table;
    private final EndpointRegistry registry;
    private volatile boolean listed;

    EndpointListener(PlatformAdapter adapter, EndpointTable table, EndpointRegistry registry) {
        this.adapter = adapter;
        this.table = table;
        this.registry = registry;
    }

    /** Tells whether the endpoints have been read at least once. */
    boolean isListed() {
        return listed;
    }

    @Override
    public void onListing(KeyValueService.Listing listing) {
        Set<EndpointId> known = table.ids();
        Set<EndpointId> present = new HashSet<>();
        for (KeyValueService.Item item : listing.items()) {
            apply(item);
            present.add(adapter.endpointOf(item.key()));
        }
        registry.listed(present, known, System.nanoTime());
        listed = true;
    }

    @Override
    public void onChange(KeyValueService.Change change) {
        switch (change) {
            case KeyValueService.Change.Written(KeyValueService.Item item) -> apply(item);
            case KeyValueService.Change.Removed(String key, long _) ->
                    registry.removed(adapter.endpointOf(key), System.nanoTime());
        }
    }

    @Override
    public void onReachable(boolean reachable) {
        registry.serviceReachable(reachable, System.nanoTime());
    }

    private void apply(KeyValueService.Item item) {
        Either<String, EndpointRecord> decoded = adapter.decodeEndpoint(item.key(), item.value());
        if (decoded.isRight()) {
            registry.registered(decoded.get());
            return;
        }
        LOG.event("registration_malformed")
                .with("key", item.key())
                .with("revision", item.revision())
                .with("reason", decoded.getLeft())
                .warn();
        registry.malformed(adapter.endpointOf(item.key()));
    }
}
