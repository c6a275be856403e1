package org.tamarackfold.peer.release;

import io.vavr.control.Option;
import java.time.Duration;
import org.tamarackfold.operator.Release;
import org.tamarackfold.operator.Route;
import org.tamarackfold.settings.CustomerSettings;

/**
 * Decides whether calls that need a key are refused because a key may have been revoked without
 * this host knowing.
 */
public final class RevocationGuard {
    private final Option<CustomerSettings> settings;
    private final ReleaseConfirmation confirmation;

    /**
     * Creates the decision of a host.
     *
     * @param settings none in a deployment without customers, where nothing is refused
     */
    public RevocationGuard(Option<CustomerSettings> settings, ReleaseConfirmation confirmation) {
        this.settings = settings;
        this.confirmation = confirmation;
    }

    /** Returns whether a call is refused as not run. */
    public boolean refuses(Release release, Route route) {
        return failsClosed() && !route.isPublic() && release.customers().isDefined() && isOverdue();
    }

    /** Returns whether calls are refused once the confirmation is overdue. */
    boolean failsClosed() {
        return settings.exists(CustomerSettings::failClosed);
    }

    /** Returns whether the last confirmation is older than the settings allow, or missing. */
    boolean isOverdue() {
        return settings.exists(
                customers ->
                        confirmation.age().forAll(age -> exceeds(age, customers.withdrawal())));
    }

    private static boolean exceeds(Duration age, Duration limit) {
        return age.compareTo(limit) > 0;
    }
}
