package review2;

import io.vavr.collection.Vector;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.tamarackfold.id.Address;
import org.tamarackfold.keyvalue.KeyValueService.Put;
import org.tamarackfold.platform.standin.KeyValueServer;
import org.tamarackfold.standin.ExecutorScheduler;
import org.tamarackfold.standin.MemoryKeyValueService;

/** The key-value service of the platform, and what operators and engines write to it. */
public final class Platform implements AutoCloseable {
    /** The stand-in numbers leases from 1; a run of a case has fewer. */
    private static final long MOST_LEASES = 500;

    private final MemoryKeyValueService service =
            new MemoryKeyValueService(new ExecutorScheduler());
    private final KeyValueServer server;
    private final int port;

    Platform(int port) {
        this.port = port;
        server = new KeyValueServer(service, new Address("127.0.0.1", port));
    }

    public int port() {
        return port;
    }

    public void put(String key, String value) {
        service.write(
                        Vector.empty(),
                        Vector.of(new Put(key, value.getBytes(StandardCharsets.UTF_8), 0)),
                        Vector.empty())
                .join();
    }

    public void remove(String key) {
        service.write(Vector.empty(), Vector.empty(), Vector.of(key)).join();
    }

    /** Writes the registration of an engine. */
    public void register(
            String id, String serviceName, int enginePort, String zone, String state, long born) {
        put(
                "servers/" + id,
                """
                {"service":"%s","address":"127.0.0.1:%d","zone":"%s","version":"v1","slots":12,\
                "state":"%s","coldRemainingMs":0,"sequence":1,"born":%d}"""
                        .formatted(serviceName, enginePort, zone, state, born));
    }

    /** Makes the service answer every call with 503, or ends this; with it, leases may run out. */
    public void setDown(boolean down, boolean leasesEnd) {
        server.rejectWith(down ? 503 : 0);
        if (leasesEnd) {
            for (long lease = 1; lease <= MOST_LEASES; lease++) {
                service.endLease(lease).join();
            }
        }
    }

    /** Returns the keys of all items whose key contains a text. */
    public List<String> keysWith(String text) {
        return service.list("").join().get().items()
                .map(item -> item.key())
                .filter(key -> key.contains(text))
                .toJavaList();
    }

    @Override
    public void close() {
        server.close();
    }
}
