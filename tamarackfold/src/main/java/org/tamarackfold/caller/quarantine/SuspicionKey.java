package org.tamarackfold.caller.quarantine;

import org.tamarackfold.id.RequestFingerprint;

/** A request at the software that has run it. */
public record SuspicionKey(RequestFingerprint request, Software software) {}
