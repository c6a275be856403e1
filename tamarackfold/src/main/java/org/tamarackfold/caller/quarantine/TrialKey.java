package org.tamarackfold.caller.quarantine;

import org.tamarackfold.id.RequestFingerprint;
import org.tamarackfold.id.ServiceName;

/** A request that is tried at a service. */
public record TrialKey(RequestFingerprint request, ServiceName service) {}
