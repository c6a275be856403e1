package org.tamarackfold.peer.release;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.function.Function;
import org.tamarackfold.id.ReleaseVersion;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.metrics.HostMetrics;
import org.tamarackfold.operator.Release;
import org.tamarackfold.operator.ReleaseHolder;
import org.tamarackfold.operator.WrittenRelease;

/**
 * Decides what a host tells others about its release, which of their releases it adopts, and what
 * their replies confirm. Thread-safe.
 */
public final class ReleaseExchange {
    private static final StructuredLog LOG = StructuredLog.of("operator");

    private final ReleaseHolder releases;
    private final ReleaseConfirmation confirmation;
    private final Function<byte[], Either<String, Release>> decoder;
    private final HostMetrics metrics;

    /**
     * Creates the exchange of a host.
     *
     * @param decoder decodes a release as the operator wrote it; left is the reason why it is
     *     malformed
     * @param metrics counts the results
     */
    public ReleaseExchange(
            ReleaseHolder releases,
            ReleaseConfirmation confirmation,
            Function<byte[], Either<String, Release>> decoder,
            HostMetrics metrics) {
        this.releases = releases;
        this.confirmation = confirmation;
        this.decoder = decoder;
        this.metrics = metrics;
    }

    /** Returns the message with which this host begins an exchange; it holds no release. */
    ReleaseMessage opening() {
        // The age is read first: if a newer release is confirmed in between, it is too high.
        Option<Duration> age = confirmation.age();
        return new ReleaseMessage(version(), age, Option.none());
    }

    private ReleaseMessage withRelease() {
        Option<Duration> age = confirmation.age();
        Option<WrittenRelease> current = releases.written();
        return new ReleaseMessage(
                current.map(WrittenRelease::version), age, current.map(WrittenRelease::written));
    }

    private Option<ReleaseVersion> version() {
        return releases.written().map(WrittenRelease::version);
    }

    /**
     * Adopts the release of a request if it is newer, and returns the reply. The age that the
     * request states is ignored, because it is not known for how long the request was on its way.
     */
    public ReleaseMessage reply(ReleaseMessage request) {
        if (ReleaseComparison.of(version(), request)
                instanceof ReleaseComparison.PeerNewer(Option<byte[]> written)) {
            written.forEach(this::adopt);
        }
        return switch (ReleaseComparison.of(version(), request)) {
            case ReleaseComparison.PeerOlder() -> withRelease();
            case ReleaseComparison.Same(), ReleaseComparison.PeerNewer(_) -> opening();
        };
    }

    /**
     * Applies a reply.
     *
     * @param sentAtNanos when the request was sent; the age of the reply is counted from then on,
     *     so that a late reply confirms nothing later than it should
     * @return the message with which this host continues, if the other one has an older release
     */
    Option<ReleaseMessage> onReply(ReleaseMessage reply, long sentAtNanos) {
        return switch (ReleaseComparison.of(version(), reply)) {
            case ReleaseComparison.Same() -> {
                confirm(reply, sentAtNanos);
                metrics.recordReleaseExchange("same");
                yield Option.none();
            }
            case ReleaseComparison.PeerNewer(Option<byte[]> written) -> {
                written.forEach(this::adopt);
                if (version().equals(reply.version())) {
                    confirm(reply, sentAtNanos);
                }
                yield Option.none();
            }
            case ReleaseComparison.PeerOlder() -> Option.some(withRelease());
        };
    }

    private void confirm(ReleaseMessage reply, long sentAtNanos) {
        reply.confirmedAge().forEach(age -> confirmation.confirmAt(sentAtNanos - age.toNanos()));
    }

    private void adopt(byte[] written) {
        Either<String, Release> decoded = decode(written);
        if (decoded.isLeft()) {
            LOG.event("release_malformed")
                    .with("source", "peer")
                    .with("reason", decoded.getLeft())
                    .warn();
            metrics.recordReleaseExchange("malformed");
            return;
        }
        Release release = decoded.get();
        boolean adopted = releases.adoptIfNewer(new WrittenRelease(release, written));
        LOG.event("release")
                .with("version", release.version())
                .with("source", "peer")
                .with("adopted", adopted)
                .info();
        metrics.recordReleaseExchange(adopted ? "adopted" : "older");
    }

    /** A release nested too deeply overflows the stack of some decoders. */
    private Either<String, Release> decode(byte[] written) {
        try {
            return decoder.apply(written);
        } catch (RuntimeException | StackOverflowError e) {
            return Either.left("decoder failed: " + e.getClass().getSimpleName());
        }
    }
}
