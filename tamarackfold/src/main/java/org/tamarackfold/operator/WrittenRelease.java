package org.tamarackfold.operator;

import org.tamarackfold.id.ReleaseVersion;

/**
 * A release with the bytes from which it was decoded.
 *
 * @param release the decoded release
 * @param written the release as the operator wrote it, for hosts that decode it themselves; not
 *     modified after creation
 */
public record WrittenRelease(Release release, byte[] written) {
    /** Returns the version of the release. */
    public ReleaseVersion version() {
        return release.version();
    }
}
