package org.tamarackfold.platform;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.errors.Failure;
import org.tamarackfold.id.Address;

/** Port to the platform's list of live and leaving hosts, which lags. */
public interface HostList {
    /**
     * A host in the list.
     *
     * @param address an address on the host
     * @param leaving whether the host is going away
     */
    record ListedHost(Address address, boolean leaving) {}

    /** Reads the list. */
    CompletableFuture<Either<Failure, List<ListedHost>>> read();
}
