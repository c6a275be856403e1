package org.tamarackfold.node.runtime;

import io.undertow.server.HttpHandler;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.time.Duration;
import org.tamarackfold.caller.limit.LimitBounds;
import org.tamarackfold.caller.limit.OwnerConfirmation;
import org.tamarackfold.caller.limit.OwnerSelection;
import org.tamarackfold.caller.limit.PermitDemand;
import org.tamarackfold.caller.limit.PermitGrant;
import org.tamarackfold.caller.limit.PermitRequester;
import org.tamarackfold.id.CustomerName;
import org.tamarackfold.id.HostId;
import org.tamarackfold.keyvalue.LeasedKey;
import org.tamarackfold.node.EntryFleet;
import org.tamarackfold.operator.CallLimit;
import org.tamarackfold.operator.Customer;
import org.tamarackfold.operator.ReleaseHolder;
import org.tamarackfold.peer.EntryHost;
import org.tamarackfold.peer.http.EntryHostMessages;
import org.tamarackfold.peer.http.EntryMessageHandler;
import org.tamarackfold.peer.http.HttpPermitChannel;
import org.tamarackfold.peer.thrift.PermitCodec;
import org.tamarackfold.settings.CustomerSettings;

/** Connects the decisions on limits of customers with messages, registrations and releases. */
final class CustomerLimits {
    /** Interval at which registrations and the own lease are read. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);

    /** Bounds when the settings have no table for customers but the release has customers. */
    private static final LimitBounds DEFAULT_BOUNDS =
            new LimitBounds(Duration.ofSeconds(5), 0.1, 20);

    private final HostComponents components;
    private final ReleaseHolder releases;
    private final EntryFleet fleet;
    private final LeasedKey registration;
    private final OwnerSelection owners;
    private final OwnerConfirmation confirmation;
    private final PermitRequester requester;

    /** The registered hosts, and the active ones whose registrations have lapsed. */
    private volatile Vector<EntryHost> reachableHosts = Vector.empty();

    CustomerLimits(
            HostComponents components,
            ReleaseHolder releases,
            EntryFleet fleet,
            LeasedKey registration) {
        this.components = components;
        this.releases = releases;
        this.fleet = fleet;
        this.registration = registration;
        owners =
                new OwnerSelection(
                        components.settings().host(), components.registrationLeaseDuration());
        HttpPermitChannel channel =
                new HttpPermitChannel(
                        components.settings().host(),
                        new EntryHostMessages(components.client(), components.metrics()),
                        () -> reachableHosts);
        confirmation = new OwnerConfirmation(owners, channel, components.random());
        requester =
                PermitRequester.builder()
                        .self(components.settings().host())
                        .owners(owners)
                        .bounds(bounds(components.settings().customers()))
                        .channel(channel)
                        .ownLimits(this::limitOf)
                        .ownShare(() -> fleet.shares().ownShare())
                        .scheduler(components.scheduler())
                        .build();
    }

    private static LimitBounds bounds(Option<CustomerSettings> settings) {
        return settings.map(
                        customers ->
                                new LimitBounds(
                                        customers.limitWindow(),
                                        customers.limitOvershoot(),
                                        customers.limitTolerance()))
                .getOrElse(DEFAULT_BOUNDS);
    }

    private Option<CallLimit> limitOf(CustomerName customer) {
        return releases.current()
                .flatMap(release -> release.customers())
                .flatMap(customers -> customers.byName(customer))
                .flatMap(Customer::limit);
    }

    PermitRequester requester() {
        return requester;
    }

    /** Starts to follow the registrations and the lease of this host. */
    void start() {
        // First, so that an unexpected error does not end the checks.
        components.scheduler().after(CHECK_INTERVAL, this::start);
        long nowNanos = components.scheduler().nanoTime();
        owners.setHosts(fleet.activeHosts().map(EntryHost::host).toSet(), nowNanos);
        updateReachableHosts(nowNanos);
        boolean hasCustomers =
                releases.current().exists(release -> release.customers().isDefined());
        confirmation.check(registration.leaseEndNanos(), hasCustomers, nowNanos);
    }

    private void updateReachableHosts(long nowNanos) {
        Vector<EntryHost> registered = components.hostTable().entryHosts();
        Set<HostId> names = registered.map(EntryHost::host).toSet();
        reachableHosts =
                reachableHosts
                        .filter(known -> !names.contains(known.host()))
                        .filter(known -> owners.sees(known.host(), nowNanos))
                        .prependAll(registered);
    }

    /** Ends to grant permits, because the registration is removed. */
    void resign() {
        owners.resign(components.scheduler().nanoTime());
    }

    /** Returns the handler of requests for permits. */
    HttpHandler messageHandler() {
        return new EntryMessageHandler(this::reply);
    }

    private byte[] reply(byte[] message) {
        PermitCodec.Request request = PermitCodec.decodeRequest(message);
        Vector<PermitGrant> grants = request.demands().map(this::grant);
        Option<Boolean> isSenderSeen =
                owners.confirms(request.host(), components.scheduler().nanoTime());
        return PermitCodec.encode(new PermitCodec.Reply(grants, isSenderSeen));
    }

    private PermitGrant grant(PermitDemand demand) {
        PermitGrant grant = requester.grant(demand);
        components.metrics().recordPermitReply(grant.owner() ? "as_owner" : "as_fallback");
        return grant;
    }
}
