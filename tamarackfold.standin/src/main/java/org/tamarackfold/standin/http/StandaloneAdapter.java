package org.tamarackfold.standin.http;

import io.vavr.collection.Seq;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.UnaryOperator;
import org.tamarackfold.adapter.PlatformAdapter;
import org.tamarackfold.caller.http.CallHeaderNames;
import org.tamarackfold.endpoint.EndpointRecord;
import org.tamarackfold.id.Address;
import org.tamarackfold.id.AvailabilityZone;
import org.tamarackfold.id.HostId;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.id.SoftwareVersion;
import org.tamarackfold.keyvalue.KeyValueService;
import org.tamarackfold.metrics.HostMetrics;
import org.tamarackfold.operator.Release;
import org.tamarackfold.operator.toml.ReleaseFile;
import org.tamarackfold.settings.KeyValueSettings;
import org.tamarackfold.transport.PooledHttpClient;

/**
 * Adapter for running without a platform. It uses the default header names and formats, and a
 * key-value service in the same process.
 */
public final class StandaloneAdapter implements PlatformAdapter {
    private static final String ENDPOINT_PREFIX = "endpoint/";

    private final KeyValueService service;
    private final UnaryOperator<Address> path;

    /** Creates the adapter; all hosts of the process must use the same service. */
    public StandaloneAdapter(KeyValueService service) {
        this(service, UnaryOperator.identity());
    }

    /**
     * Creates the adapter of a host that reaches endpoints through proxies of its own, so that its
     * links can fail while those of other hosts hold.
     *
     * @param path returns the address at which this host reaches an endpoint
     */
    public StandaloneAdapter(KeyValueService service, UnaryOperator<Address> path) {
        this.service = service;
        this.path = path;
    }

    /** Returns the registration of an endpoint, in the format of {@link #decodeEndpoint}. */
    public static KeyValueService.Put registration(EndpointRecord record) {
        String text =
                String.join(
                        " ",
                        record.service().value(),
                        record.address().toString(),
                        record.zone().value(),
                        Integer.toString(record.slots()),
                        Boolean.toString(record.draining()),
                        record.version().value(),
                        Long.toString(record.startedAtMillis()));
        return new KeyValueService.Put(
                ENDPOINT_PREFIX + record.id(), text.getBytes(StandardCharsets.UTF_8), 0);
    }

    @Override
    public String name() {
        return "own";
    }

    @Override
    public KeyValueService keyValueService(
            PooledHttpClient client, KeyValueSettings settings, HostMetrics metrics) {
        return service;
    }

    @Override
    public CallHeaderNames callHeaderNames() {
        return CallHeaderNames.DEFAULT;
    }

    @Override
    public String operatorPrefix() {
        return "operator/";
    }

    @Override
    public String releaseKey() {
        return "operator/release";
    }

    @Override
    public Either<String, Release> decodeRelease(byte[] value) {
        return ReleaseFile.read(new String(value, StandardCharsets.UTF_8));
    }

    @Override
    public String retirementPrefix() {
        return "operator/retire/";
    }

    @Override
    public KeyValueService.Put retirementStatus(HostId host, boolean completed) {
        String text = completed ? "completed" : "running";
        return new KeyValueService.Put(
                "retirement/" + host, text.getBytes(StandardCharsets.UTF_8), 0);
    }

    @Override
    public String endpointPrefix() {
        return ENDPOINT_PREFIX;
    }

    @Override
    public Either<String, EndpointRecord> decodeEndpoint(String key, byte[] value) {
        String[] fields = new String(value, StandardCharsets.UTF_8).split(" ");
        if (fields.length < 5 || fields.length > 7) {
            return Either.left("expected 5 to 7 fields, found " + fields.length);
        }
        try {
            return Either.right(
                    new EndpointRecord(
                            endpointOf(key),
                            new ServiceName(fields[0]),
                            path.apply(Address.parse(fields[1])),
                            new AvailabilityZone(fields[2]),
                            Integer.parseInt(fields[3]),
                            Boolean.parseBoolean(fields[4]),
                            startedAtMillis(fields),
                            version(fields)));
        } catch (IllegalArgumentException e) {
            return Either.left(String.valueOf(e.getMessage()));
        }
    }

    /** Returns the sixth field, which is empty or absent when the endpoint states no version. */
    private static SoftwareVersion version(String[] fields) {
        return fields.length >= 6 && !fields[5].isEmpty()
                ? new SoftwareVersion(fields[5])
                : SoftwareVersion.UNSTATED;
    }

    /** Returns the last field, which is absent when the start time is unknown. */
    private static long startedAtMillis(String[] fields) {
        return fields.length == 7 ? Long.parseLong(fields[6]) : 0;
    }

    @Override
    public String readinessPath() {
        return "/ready";
    }

    @Override
    public String directoryPath() {
        return "/entries";
    }

    @Override
    public byte[] encodeDirectory(Seq<Address> addresses, Duration timeToLive) {
        return (addresses.mkString("\n") + "\n").getBytes(StandardCharsets.UTF_8);
    }
}
