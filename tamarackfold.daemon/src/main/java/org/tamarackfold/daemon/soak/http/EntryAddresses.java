package org.tamarackfold.daemon.soak.http;

import io.undertow.util.HttpString;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.tamarackfold.daemon.soak.Ledger;
import org.tamarackfold.daemon.soak.Rule;
import org.tamarackfold.platform.standin.PlatformDocuments;
import org.tamarackfold.transport.HttpRequest;
import org.tamarackfold.transport.PooledHttpClient;
import org.tamarackfold.transport.ResponseCollector;
import org.tamarackfold.transport.TransportFailure;

/** The entry hosts that one caller uses, as the directories name them. Used by one thread. */
final class EntryAddresses {
    private static final Duration DIRECTORY_TIMEOUT = Duration.ofSeconds(1);
    private static final int MAXIMUM_DIRECTORIES = 3;

    private static final HttpString GET = new HttpString("GET");

    private final PooledHttpClient client;
    private final Ledger ledger;
    private final Vector<EntryHost> hosts;
    private final Random random;

    /** Whether the caller stays with a host until an attempt fails; others follow directories. */
    private final boolean staysWithHost;

    private Vector<EntryHost> named = Vector.empty();
    private long expiryNanos = System.nanoTime();
    private EntryHost current;

    EntryAddresses(PooledHttpClient client, Ledger ledger, Vector<EntryHost> hosts, Random random) {
        this.client = client;
        this.ledger = ledger;
        this.hosts = hosts;
        this.random = random;
        this.staysWithHost = random.nextBoolean();
    }

    /** Returns the host for the next attempt. */
    EntryHost select() throws InterruptedException {
        if (current != null && staysWithHost) {
            return current;
        }
        if (named.isEmpty() || System.nanoTime() - expiryNanos > 0) {
            ask();
        }
        current = pick(named.isEmpty() ? hosts : named);
        return current;
    }

    /** Selects another host next, because an attempt at this one has failed. */
    void markFailed(EntryHost host) {
        named = named.remove(host);
        current = null;
    }

    private EntryHost pick(Vector<EntryHost> from) {
        return from.get(random.nextInt(from.size()));
    }

    private void ask() throws InterruptedException {
        Vector<EntryHost> directories =
                hosts.sortBy(host -> random.nextInt()).take(MAXIMUM_DIRECTORIES);
        for (EntryHost directory : directories) {
            Option<PlatformDocuments.Directory> answer = read(directory);
            if (answer.exists(present -> !present.addresses().isEmpty())) {
                named = hosts.filter(host -> answer.get().addresses().contains(host.callers()));
                expiryNanos = System.nanoTime() + answer.get().timeToLive().toNanos();
                return;
            }
        }
    }

    /** Returns what a directory says; none when it is down or silent, or says nothing readable. */
    private Option<PlatformDocuments.Directory> read(EntryHost directory)
            throws InterruptedException {
        CompletableFuture<Either<TransportFailure, ResponseCollector.Response>> result =
                new CompletableFuture<>();
        client.send(request(directory), new ResponseCollector(result::complete));
        try {
            Either<TransportFailure, ResponseCollector.Response> response = result.get();
            if (response.isLeft()) {
                reportMalformed(directory, response.getLeft());
                return Option.none();
            }
            return Option.some(PlatformDocuments.directory(response.get().body()));
        } catch (ExecutionException | RuntimeException e) {
            // The next directory is asked.
            return Option.none();
        }
    }

    private static HttpRequest request(EntryHost directory) {
        String path = PlatformDocuments.ADAPTER.directoryPath();
        return HttpRequest.builder()
                .address(directory.directory())
                .method(GET)
                .path(path + "?name=soak&region=r&zone=zone-a")
                .connectTimeout(DIRECTORY_TIMEOUT)
                .responseTimeout(DIRECTORY_TIMEOUT)
                .build();
    }

    private void reportMalformed(EntryHost directory, TransportFailure failure) {
        if (failure instanceof TransportFailure.Malformed(String reason)) {
            String seen = "the directory of %s is malformed: %s";
            ledger.report(Rule.MIXED, "none", seen.formatted(directory.id(), reason));
        }
    }
}
