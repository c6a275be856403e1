import io.vavr.collection.Vector;
import java.nio.charset.StandardCharsets;
import org.tamarackfold.id.Address;
import org.tamarackfold.keyvalue.KeyValueService;
import org.tamarackfold.platform.standin.KeyValueServer;
import org.tamarackfold.standin.ExecutorScheduler;
import org.tamarackfold.standin.MemoryKeyValueService;

/** The platform's store: the project's own stand-in, with the documents of operator and engines. */
final class Platform implements AutoCloseable {
    private final MemoryKeyValueService service = new MemoryKeyValueService(new ExecutorScheduler());
    private final KeyValueServer server;
    final int port = Ports.free();

    Platform() {
        server = new KeyValueServer(service, new Address("127.0.0.1", port));
    }

    void put(String key, String value) {
        service.write(
                        Vector.empty(),
                        Vector.of(new KeyValueService.Put(key, value.getBytes(StandardCharsets.UTF_8), 0)),
                        Vector.empty())
                .join();
    }

    void register(Engine engine, int slots) {
        put(
                "servers/" + engine.id,
                ("{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"version\":\"1\",\"slots\":%d,"
                                + "\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":%d}")
                        .formatted(engine.service, engine.port, engine.zone, slots, engine.bornMillis));
    }

    @Override
    public void close() {
        server.close();
    }
}
