package org.tamarackfold.daemon.soak.runtime;

import io.vavr.collection.Seq;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.daemon.soak.http.LoopbackProxy;
import org.tamarackfold.endpoint.EndpointRecord;
import org.tamarackfold.errors.Failure;
import org.tamarackfold.id.Address;
import org.tamarackfold.keyvalue.KeyValueService;
import org.tamarackfold.platform.standin.PlatformDocuments;

/**
 * The links of one entry host to all endpoints, which can be cut while other hosts keep theirs. The
 * host reads the registrations of endpoints from this view of the key-value service, with the
 * address of a proxy of its own in the place of each endpoint's.
 */
final class HostLinks implements KeyValueService, AutoCloseable {
    private final KeyValueService service;
    private final Map<Address, LoopbackProxy> links = new HashMap<>();
    private LoopbackProxy.Condition condition = new LoopbackProxy.Condition.Clear();

    HostLinks(KeyValueService service) {
        this.service = service;
    }

    /** Sets what happens on all links, also on those to endpoints that register later. */
    synchronized void set(LoopbackProxy.Condition value) throws IOException {
        condition = value;
        for (LoopbackProxy link : links.values()) {
            link.set(value);
        }
    }

    private synchronized Address linkTo(Address endpoint) {
        LoopbackProxy link = links.get(endpoint);
        if (link == null) {
            try {
                link = new LoopbackProxy(endpoint);
                link.set(condition);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            links.put(endpoint, link);
        }
        return link.address();
    }

    /** Closes the link to an endpoint that has ended, so that connections to it are refused. */
    synchronized void close(Address endpoint) throws IOException {
        LoopbackProxy link = links.get(endpoint);
        if (link != null) {
            link.close();
        }
    }

    private Item view(Item item) {
        if (!item.key().startsWith(PlatformDocuments.ADAPTER.endpointPrefix())) {
            return item;
        }
        EndpointRecord record =
                PlatformDocuments.ADAPTER.decodeEndpoint(item.key(), item.value()).get();
        EndpointRecord linked =
                new EndpointRecord(
                        record.id(),
                        record.service(),
                        linkTo(record.address()),
                        record.zone(),
                        record.slots(),
                        record.draining(),
                        record.startedAtMillis(),
                        record.version());
        byte[] value = PlatformDocuments.registration(linked).value();
        return new Item(item.key(), value, item.revision());
    }

    private Change view(Change change) {
        return change instanceof Change.Written(Item item)
                ? new Change.Written(view(item))
                : change;
    }

    @Override
    public CompletableFuture<Either<Failure, Option<Item>>> read(String key) {
        return service.read(key).thenApply(result -> result.map(item -> item.map(this::view)));
    }

    @Override
    public CompletableFuture<Either<Failure, Listing>> list(String prefix) {
        return service.list(prefix)
                .thenApply(
                        result ->
                                result.map(
                                        listing ->
                                                new Listing(
                                                        listing.items().map(this::view),
                                                        listing.asOf())));
    }

    @Override
    public CompletableFuture<Either<Failure, WatchResult>> watch(
            String prefix, long afterRevision, Duration wait) {
        return service.watch(prefix, afterRevision, wait)
                .thenApply(result -> result.map(this::view));
    }

    private WatchResult view(WatchResult result) {
        return switch (result) {
            case WatchResult.Changes(var changes, long asOf) ->
                    new WatchResult.Changes(changes.map(this::view), asOf);
            case WatchResult.ChangesUnavailable unavailable -> unavailable;
        };
    }

    @Override
    public CompletableFuture<Either<Failure, WriteResult>> write(
            Seq<Precondition> preconditions, Seq<Put> puts, Seq<String> removals) {
        return service.write(preconditions, puts, removals);
    }

    @Override
    public CompletableFuture<Either<Failure, Long>> grantLease(Duration duration) {
        return service.grantLease(duration);
    }

    @Override
    public CompletableFuture<Either<Failure, Boolean>> renewLease(long lease) {
        return service.renewLease(lease);
    }

    @Override
    public CompletableFuture<Either<Failure, Boolean>> endLease(long lease) {
        return service.endLease(lease);
    }

    @Override
    public synchronized void close() throws IOException {
        for (LoopbackProxy link : links.values()) {
            link.close();
        }
    }
}
