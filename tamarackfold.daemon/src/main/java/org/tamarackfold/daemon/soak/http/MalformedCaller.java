package org.tamarackfold.daemon.soak.http;

import io.undertow.util.Headers;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.tamarackfold.caller.http.CallHeaderNames;
import org.tamarackfold.daemon.soak.Customer;
import org.tamarackfold.daemon.soak.KeyTable;
import org.tamarackfold.daemon.soak.Ledger;
import org.tamarackfold.daemon.soak.Rule;
import org.tamarackfold.id.Address;
import org.tamarackfold.platform.standin.PlatformDocuments;

/**
 * Caller that sends malformed requests, each with a sound one in its body. The ledger knows the ids
 * of neither, so that it reports each that an endpoint runs.
 */
public final class MalformedCaller implements Runnable {
    private static final CallHeaderNames NAMES = PlatformDocuments.ADAPTER.callHeaderNames();
    private static final int TIMEOUT_MILLIS = 2_000;
    private static final int MAXIMUM_PAUSE_MILLIS = 100;
    private static final String SUCCESS = "HTTP/1.1 2";
    private static final String BAD_REQUEST = "HTTP/1.1 400";

    private final Ledger ledger;
    private final Customer customer;
    private final KeyTable keys;
    private final Vector<EntryHost> hosts;
    private final Random random;
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final AtomicInteger rejected = new AtomicInteger();
    private int count;

    /** Creates a caller; the seed decides requests, hosts and pauses. */
    public MalformedCaller(
            Ledger ledger, Customer customer, KeyTable keys, Iterable<EntryHost> hosts, long seed) {
        this.ledger = ledger;
        this.customer = customer;
        this.keys = keys;
        this.hosts = Vector.ofAll(hosts);
        this.random = new Random(seed);
    }

    /** Makes the caller end after its present request. */
    public void stop() {
        stopping.set(true);
    }

    /** Returns the number of requests that were answered 400. */
    public int rejected() {
        return rejected.get();
    }

    @Override
    public void run() {
        try {
            while (!stopping.get()) {
                send(hosts.get(random.nextInt(hosts.size())).proxy().address());
                Thread.sleep(random.nextInt(MAXIMUM_PAUSE_MILLIS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void send(Address address) throws InterruptedException {
        MalformedRequest form =
                MalformedRequest.values()[random.nextInt(MalformedRequest.values().length)];
        String id = "malformed-" + form.label() + "-" + ++count;
        String inside = head(id + "-inside") + "Content-Length: 0\r\n\r\n";
        byte[] bytes = form.text(head(id), inside).getBytes(StandardCharsets.ISO_8859_1);
        try (Socket socket = new Socket()) {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(address.ip(), address.port()), TIMEOUT_MILLIS);
            write(socket.getOutputStream(), bytes);
            byte[] bytesOfStart = socket.getInputStream().readNBytes(BAD_REQUEST.length());
            String start = new String(bytesOfStart, StandardCharsets.ISO_8859_1);
            if (start.equals(BAD_REQUEST)) {
                rejected.incrementAndGet();
            }
            if (start.startsWith(SUCCESS)) {
                ledger.report(Rule.ALTERED, id, "a malformed request was answered with success");
            }
        } catch (IOException e) {
            // The fault plan ends hosts and connections; no answer is promised.
            return;
        }
    }

    /** Writes bytes at once, in two parts or one by one. */
    private void write(OutputStream out, byte[] bytes) throws IOException, InterruptedException {
        int partBytes =
                switch (random.nextInt(3)) {
                    case 0 -> bytes.length;
                    case 1 -> 1 + random.nextInt(bytes.length - 1);
                    default -> 1;
                };
        for (int offset = 0; offset < bytes.length; offset += partBytes) {
            out.write(bytes, offset, Math.min(partBytes, bytes.length - offset));
            Thread.sleep(0, 100_000);
        }
    }

    private String head(String id) {
        Option<String> key = keys.pick(customer, random);
        return "POST /once/x HTTP/1.1\r\nHost: 127.0.0.1\r\n%s: %s\r\n%s: 2000\r\n%s"
                .formatted(
                        NAMES.callId(),
                        id,
                        NAMES.deadline(),
                        key.map(value -> Headers.AUTHORIZATION + ": Bearer " + value + "\r\n")
                                .getOrElse(""));
    }
}
