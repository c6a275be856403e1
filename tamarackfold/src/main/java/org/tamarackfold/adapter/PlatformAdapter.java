package org.tamarackfold.adapter;

import io.vavr.collection.Seq;
import io.vavr.control.Either;
import java.time.Duration;
import org.tamarackfold.caller.http.CallHeaders;
import org.tamarackfold.endpoint.EndpointRecord;
import org.tamarackfold.id.Address;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.HostId;
import org.tamarackfold.keyvalue.KeyValueService;
import org.tamarackfold.metrics.NodeMetrics;
import org.tamarackfold.operator.Release;
import org.tamarackfold.settings.KeyValueSettings;
import org.tamarackfold.transport.HttpClientPool;

/** Translates between the product's types and the names and formats of one platform. */
public interface PlatformAdapter {
    /** Returns the name by which settings select this adapter. */
    String name();

    /** Creates the client for the platform's key-value service. */
    KeyValueService keyValueService(
            HttpClientPool client, KeyValueSettings settings, NodeMetrics metrics);

    /** Returns the names of the headers of calls. */
    CallHeaders callHeaders();

    /** Returns the prefix under which operators write. */
    String operatorPrefix();

    /** Returns the key that holds the release. */
    String releaseKey();

    /** Decodes a release; left is the reason why it is malformed. */
    Either<String, Release> decodeRelease(byte[] value);

    /** Returns the prefix of the requests to empty storage hosts; the host's name follows. */
    String retirementPrefix();

    /** Returns the item that tells operators how far the emptying of a storage host is. */
    KeyValueService.Put retirementStatus(HostId host, boolean completed);

    /** Returns the prefix under which endpoints register. */
    String endpointPrefix();

    /** Returns the endpoint that registers under a key. */
    default EndpointId endpointOf(String key) {
        return new EndpointId(key.substring(endpointPrefix().length()));
    }

    /** Decodes the registration of an endpoint; left is the reason why it is malformed. */
    Either<String, EndpointRecord> decodeEndpoint(String key, byte[] value);

    /** Returns the path at which the platform asks whether an entry host is ready. */
    String readinessPath();

    /** Returns the path at which callers ask for the addresses of entry hosts. */
    String directoryPath();

    /** Encodes the answer to callers that ask for the addresses of entry hosts. */
    byte[] encodeDirectory(Seq<Address> addresses, Duration timeToLive);
}
