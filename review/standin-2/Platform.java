package review2;

import io.vavr.collection.Vector;
import java.nio.charset.StandardCharsets;
import org.tamarackfold.id.Address;
import org.tamarackfold.keyvalue.KeyValueService.Put;
import org.tamarackfold.platform.standin.KeyValueServer;
import org.tamarackfold.standin.ExecutorScheduler;
import org.tamarackfold.standin.MemoryKeyValueService;

/** The key-value service of the platform, and what operators and engines write to it. */
public final class Platform implements AutoCloseable {
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

    @Override
    public void close() {
        server.close();
    }
}
