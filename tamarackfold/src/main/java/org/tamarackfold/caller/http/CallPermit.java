package org.tamarackfold.caller.http;

import io.vavr.control.Option;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.tamarackfold.caller.CallDescription;
import org.tamarackfold.caller.limit.PermitDecision;
import org.tamarackfold.caller.limit.PermitKind;
import org.tamarackfold.caller.limit.PermitRequester;
import org.tamarackfold.id.CustomerName;
import org.tamarackfold.operator.CallLimit;
import org.tamarackfold.operator.Customer;
import org.tamarackfold.operator.Release;
import org.tamarackfold.operator.Route;

/**
 * The permit of a call whose customer has a limit; every attempt needs one. Used on the I/O thread
 * of the caller's connection.
 */
final class CallPermit {
    private final PermitRequester requester;
    private final Executor thread;
    private final Option<Limited> limited;
    private final PermitKind firstKind;
    private final Consumer<PermitDecision> onDecision;
    private Option<PermitDecision.Permit> unused = Option.none();
    private Option<PermitDecision.Permit> inUse = Option.none();
    private boolean isWaiting;
    private boolean sentOnce;
    private boolean ended;

    private record Limited(CustomerName customer, CallLimit limit) {}

    /**
     * Creates the permit of a call; nothing is requested yet.
     *
     * @param onDecision called with each decision that is not known at once
     */
    CallPermit(
            PermitRequester requester,
            Executor thread,
            CallDescription call,
            Release release,
            Route route,
            Consumer<PermitDecision> onDecision) {
        this.requester = requester;
        this.thread = thread;
        this.limited = limitOf(call, release);
        this.firstKind = kindOf(call, route);
        this.onDecision = onDecision;
    }

    private static Option<Limited> limitOf(CallDescription call, Release release) {
        return call.customer()
                .flatMap(name -> release.customers().flatMap(all -> all.byName(name)))
                .flatMap(CallPermit::limitOf);
    }

    private static Option<Limited> limitOf(Customer customer) {
        return customer.limit().map(limit -> new Limited(customer.name(), limit));
    }

    private static PermitKind kindOf(CallDescription call, Route route) {
        boolean begins =
                route.usesTokenBudget()
                        && route.keepsHistory()
                        && call.resumption().isEmpty()
                        && call.turn().exists(turn -> turn.parent().isEmpty());
        return begins ? PermitKind.FIRST_TURN : PermitKind.OTHER;
    }

    /** Returns whether the next attempt may be sent. */
    boolean isReady(long nowNanos) {
        return limited.isEmpty() || unused.exists(permit -> permit.isValid(nowNanos));
    }

    /** Requests a permit unless there is one; the decision is made known when it arrives. */
    void request(long nowNanos) {
        if (isWaiting || ended || isReady(nowNanos)) {
            return;
        }
        Limited needed = limited.get();
        PermitKind kind = sentOnce ? PermitKind.OTHER : firstKind;
        CompletableFuture<PermitDecision> decision =
                requester.acquire(needed.customer(), needed.limit(), kind);
        isWaiting = true;
        decision.thenAcceptAsync(this::accept, thread);
    }

    private void accept(PermitDecision decision) {
        isWaiting = false;
        if (decision instanceof PermitDecision.Granted(PermitDecision.Permit permit)) {
            if (ended) {
                requester.giveBack(permit);
                return;
            }
            unused = Option.some(permit);
        }
        if (!ended) {
            onDecision.accept(decision);
        }
    }

    /** Uses the permit for an attempt that is sent. */
    void use() {
        sentOnce = true;
        inUse = unused;
        unused = Option.none();
    }

    /** Keeps the permit of an attempt that has not run, for the next one. */
    void reuse() {
        unused = inUse;
        inUse = Option.none();
    }

    /** Gives back a permit that no attempt has used, because the call has ended. */
    void end() {
        ended = true;
        unused.forEach(requester::giveBack);
        unused = Option.none();
    }
}
