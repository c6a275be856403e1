package org.tamarackfold.caller.limit;

import io.vavr.control.Option;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.id.HostId;

/** Carries demands to other entry hosts. */
public interface PermitChannel {
    /**
     * Asks a host for permits; the future holds its grant, or nothing if the host does not answer
     * in time. It never fails.
     */
    CompletableFuture<Option<PermitGrant>> ask(HostId host, PermitDemand demand);

    /**
     * Asks a host whether it sees this one as registered; nothing if it does not answer in time.
     * The future never fails.
     */
    CompletableFuture<Option<Boolean>> sees(HostId host);
}
