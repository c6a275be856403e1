package org.tamarackfold.peer.thrift;

import org.tamarackfold.id.ServiceName;
import org.tamarackfold.id.SoftwareVersion;
import org.tamarackfold.peer.StreamOrigin;
import org.tamarackfold.peer.thrift.generated.StreamOriginStruct;

/** Encodes and decodes the origins of event streams as Thrift structures. */
final class OriginCodec {
    private OriginCodec() {}

    static StreamOriginStruct toStruct(StreamOrigin origin) {
        return new StreamOriginStruct(
                origin.service().value(), origin.version().value(), origin.attempt());
    }

    /**
     * Decodes an origin.
     *
     * @throws IllegalArgumentException when a field is malformed
     */
    static StreamOrigin toOrigin(StreamOriginStruct struct) {
        return new StreamOrigin(
                new ServiceName(struct.getServiceName()),
                new SoftwareVersion(struct.getVersion()),
                struct.getAttempt());
    }
}
