package org.tamarackfold.daemon.soak.http;

import io.vavr.collection.Vector;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Random;
import org.tamarackfold.platform.standin.PlatformDocuments;

/** The entry hosts that one caller uses, as the directories name them. Used by one thread. */
final class EntryAddresses {
    private static final Duration DIRECTORY_TIMEOUT = Duration.ofSeconds(1);
    private static final int MAXIMUM_DIRECTORIES = 3;

    private final HttpClient client;
    private final Vector<EntryHost> hosts;
    private final Random random;

    /** Whether the caller stays with a host until an attempt fails; others follow directories. */
    private final boolean staysWithHost;

    private Vector<EntryHost> named = Vector.empty();
    private long expiryNanos = System.nanoTime();
    private EntryHost current;

    EntryAddresses(HttpClient client, Vector<EntryHost> hosts, Random random) {
        this.client = client;
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
            URI uri =
                    URI.create(
                            "http://%s%s?name=soak&region=r&zone=zone-a"
                                    .formatted(
                                            directory.directory(),
                                            PlatformDocuments.ADAPTER.directoryPath()));
            try {
                HttpResponse<byte[]> response =
                        client.send(
                                HttpRequest.newBuilder(uri).timeout(DIRECTORY_TIMEOUT).build(),
                                HttpResponse.BodyHandlers.ofByteArray());
                PlatformDocuments.Directory answer = PlatformDocuments.directory(response.body());
                if (!answer.addresses().isEmpty()) {
                    named = hosts.filter(host -> answer.addresses().contains(host.callers()));
                    expiryNanos = System.nanoTime() + answer.timeToLive().toNanos();
                    return;
                }
            } catch (IOException | RuntimeException e) {
                // The directory is down or silent; the next one is asked.
            }
        }
    }
}
