package org.tamarackfold.peer.release;

import io.vavr.control.Option;
import java.time.Duration;
import org.tamarackfold.id.ReleaseVersion;

/**
 * What one entry host tells another about its release, as a request or as a reply.
 *
 * @param version the version in force at the sender; none when it has no release
 * @param confirmedAge the time since the sender's release was confirmed as the newest; none when it
 *     never was
 * @param written the sender's release as the operator wrote it; present when the receiver is known
 *     to have an older one
 */
public record ReleaseMessage(
        Option<ReleaseVersion> version, Option<Duration> confirmedAge, Option<byte[]> written) {}
