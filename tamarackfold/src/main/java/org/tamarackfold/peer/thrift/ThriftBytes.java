package org.tamarackfold.peer.thrift;

import org.apache.thrift.TBase;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;

/** Serializes Thrift structures with the compact protocol. */
final class ThriftBytes {
    private static final TCompactProtocol.Factory PROTOCOL = new TCompactProtocol.Factory();

    private ThriftBytes() {}

    static byte[] encode(TBase<?, ?> structure) {
        try {
            return new TSerializer(PROTOCOL).serialize(structure);
        } catch (TException e) {
            // The text of a structure may contain the keys of a release.
            throw new IllegalStateException(
                    "Cannot encode Thrift structure: " + structure.getClass().getSimpleName(), e);
        }
    }

    /**
     * Decodes bytes into the given empty structure and returns it.
     *
     * @throws IllegalArgumentException when the bytes are malformed
     */
    static <T extends TBase<?, ?>> T decode(byte[] bytes, T structure) {
        try {
            new TDeserializer(PROTOCOL).deserialize(structure, bytes);
            return structure;
        } catch (TException e) {
            throw new IllegalArgumentException("Message is malformed: " + e.getMessage(), e);
        }
    }
}
