package org.tamarackfold.adapter;

import io.vavr.collection.Seq;
import io.vavr.control.Either;
import java.time.Duration;
import org.tamarackfold.caller.http.CallHeaderNames;
import org.tamarackfold.endpoint.EndpointRecord;
import org.tamarackfold.id.Address;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.HostId;
import org.tamarackfold.keyvalue.KeyValueService;
import org.tamarackfold.metrics.HostMetrics;
import org.tamarackfold.operator.Release;
import org.tamarackfold.settings.KeyValueSettings;
import org.tamarackfold.transport.PooledHttpClient;

/** Defines the key names, data formats and HTTP paths of one platform. */
public interface PlatformAdapter {
    /** Returns the name by which the settings of a host select this adapter. */
    String name();

    /** Creates the client for the platform's key-value service. */
    KeyValueService keyValueService(
            PooledHttpClient client, KeyValueSettings settings, HostMetrics metrics);

    /** Returns the names of the HTTP headers of calls. */
    CallHeaderNames callHeaderNames();

    /** Returns the prefix of all keys that operators write. */
    String operatorPrefix();

    /** Returns the key that holds the release. */
    String releaseKey();

    /** Decodes a release; left is the reason why it is malformed. */
    Either<String, Release> decodeRelease(byte[] value);

    /**
     * Returns the prefix of the keys by which operators retire storage hosts; the host id follows.
     */
    String retirementPrefix();

    /**
     * Returns the value that reports the retirement of a storage host to operators.
     *
     * @param completed whether the host is no longer a member of any shard
     */
    KeyValueService.Put retirementStatus(HostId host, boolean completed);

    /** Returns the prefix of the keys of endpoint registrations; the endpoint id follows. */
    String endpointPrefix();

    /**
     * Returns the endpoint that registers under a key.
     *
     * @throws IllegalArgumentException when the rest of the key is not a valid id
     */
    default EndpointId endpointOf(String key) {
        return new EndpointId(key.substring(endpointPrefix().length()));
    }

    /** Decodes the registration of an endpoint; left is the reason why it is malformed. */
    Either<String, EndpointRecord> decodeEndpoint(String key, byte[] value);

    /** Returns the HTTP path of the readiness check of entry hosts. */
    String readinessPath();

    /** Returns the HTTP path at which callers read the addresses of entry hosts. */
    String directoryPath();

    /**
     * Encodes the addresses of entry hosts for callers.
     *
     * @param timeToLive how long callers may cache the addresses
     */
    byte[] encodeDirectory(Seq<Address> addresses, Duration timeToLive);
}
