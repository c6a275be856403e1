package org.tamarackfold.peer.thrift;

import io.vavr.control.Option;
import java.time.Duration;
import org.tamarackfold.id.ReleaseVersion;
import org.tamarackfold.peer.release.ReleaseMessage;
import org.tamarackfold.peer.thrift.generated.ReleaseExchangeStruct;

/** Encodes and decodes messages about releases as Thrift structures. */
public final class ReleaseExchangeCodec {
    /** Longer ages, which cannot be converted to ns, are malformed; no process runs that long. */
    private static final Duration MAXIMUM_AGE = Duration.ofDays(36_500);

    private ReleaseExchangeCodec() {}

    /** Encodes a message. */
    public static byte[] encode(ReleaseMessage message) {
        ReleaseExchangeStruct struct = new ReleaseExchangeStruct();
        message.version().forEach(version -> struct.setVersion(version.value()));
        message.confirmedAge().forEach(age -> struct.setConfirmedAgeMillis(toMillisUp(age)));
        message.written().forEach(struct::setRelease);
        return ThriftBytes.encode(struct);
    }

    /** Rounds up, so that an age never decreases on its way from host to host. */
    private static long toMillisUp(Duration age) {
        return age.plusNanos(999_999).toMillis();
    }

    /**
     * Decodes a message.
     *
     * @throws IllegalArgumentException when the bytes are malformed or a number is out of range
     */
    public static ReleaseMessage decode(byte[] bytes) {
        ReleaseExchangeStruct struct = ThriftBytes.decode(bytes, new ReleaseExchangeStruct());
        return new ReleaseMessage(
                Option.when(struct.isSetVersion(), struct::getVersion).map(ReleaseVersion::new),
                Option.when(struct.isSetConfirmedAgeMillis(), struct::getConfirmedAgeMillis)
                        .map(ReleaseExchangeCodec::toAge),
                Option.when(struct.isSetRelease(), struct::getRelease));
    }

    private static Duration toAge(long millis) {
        if (millis < 0 || millis > MAXIMUM_AGE.toMillis()) {
            throw new IllegalArgumentException("age is out of range: " + millis);
        }
        return Duration.ofMillis(millis);
    }
}
