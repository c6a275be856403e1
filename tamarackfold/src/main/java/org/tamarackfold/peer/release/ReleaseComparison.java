package org.tamarackfold.peer.release;

import io.vavr.control.Option;
import org.tamarackfold.id.ReleaseVersion;

/** How the release of another entry host relates to that of this host. */
sealed interface ReleaseComparison {
    /** Both have the same version, or neither has a release. */
    record Same() implements ReleaseComparison {}

    /**
     * The other host has a newer release.
     *
     * @param written that release, if the message holds it
     */
    record PeerNewer(Option<byte[]> written) implements ReleaseComparison {}

    /** The other host has an older release, or none. */
    record PeerOlder() implements ReleaseComparison {}

    /** Compares the version of this host with that of a message. */
    static ReleaseComparison of(Option<ReleaseVersion> own, ReleaseMessage message) {
        int difference = rank(message.version()).compareTo(rank(own));
        if (difference == 0) {
            return new Same();
        }
        return difference > 0 ? new PeerNewer(message.written()) : new PeerOlder();
    }

    /** Versions start at 0; a host without a release ranks below all of them. */
    private static Long rank(Option<ReleaseVersion> version) {
        return version.map(ReleaseVersion::value).getOrElse(-1L);
    }
}
