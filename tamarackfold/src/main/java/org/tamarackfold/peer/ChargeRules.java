package org.tamarackfold.peer;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.Epoch;
import org.tamarackfold.id.ProgramId;

/** Decides on the reservations and settlements of a shard of which this host is the primary. */
final class ChargeRules {
    /** Time for which charges are kept after their last change, in milliseconds. */
    private static final long CHARGE_RETENTION_MILLIS = 180_000;

    /**
     * Age at which a reservation counts as used in full, in milliseconds. Entry hosts settle a turn
     * when it ends, and try to for 10 s; a turn lasts no longer than a few seconds.
     */
    private static final long SETTLEMENT_TIMEOUT_MILLIS = 15_000;

    private ChargeRules() {}

    /**
     * Decides on a reservation, and applies it when it is granted.
     *
     * @param newTurnRejection the reply to a new turn when the host has no memory or disk space for
     *     its history; none if it has
     */
    static ShardTable.Decision reserve(
            ShardRecords records,
            Epoch primarySince,
            PeerRequest.Reserve request,
            Option<PeerReply.Overloaded> newTurnRejection,
            long nowMillis) {
        Option<StoredRecord.Charge> existing = records.charge(request.program(), request.call());
        if (existing.exists(StoredRecord.Charge::settled)) {
            return reply(new PeerReply.Unavailable("the turn has been settled"));
        }
        if (existing.isEmpty() && !mayContinue(records, request)) {
            // The write quorum confirms that no later primary knows of the turn.
            return new ShardTable.Decision.Replicate(
                    Vector.empty(), new PeerReply.NoSuchTurn(false), primarySince);
        }
        ShardRecords.ChargedTokens charged = charged(records, request, nowMillis);
        long available = request.budgetTokens() - request.tokens();
        if (charged.settled() > available) {
            // The write quorum confirms that no later primary knows of a smaller settlement.
            return new ShardTable.Decision.Replicate(
                    Vector.empty(), new PeerReply.Exhausted(), primarySince);
        }
        if (charged.settled() + charged.outstanding() > available) {
            return reply(new PeerReply.Outstanding());
        }
        if (newTurnRejection.isDefined() && beginsTurn(records, request, existing)) {
            return reply(newTurnRejection.get());
        }
        return grant(records, primarySince, request, nowMillis);
    }

    private static ShardTable.Decision reply(PeerReply reply) {
        return new ShardTable.Decision.Reply(reply);
    }

    private static boolean mayContinue(ShardRecords records, PeerRequest.Reserve request) {
        return request.continued()
                .forAll(
                        continued ->
                                records.turn(
                                                continued.parent(),
                                                continued.access(request.program()))
                                        .isDefined());
    }

    /**
     * Returns whether a reservation leads to another history. One that is repeated belongs to an
     * accepted turn, as does one that resumes the stream of such a turn; one without tokens records
     * only where a stream began.
     */
    private static boolean beginsTurn(
            ShardRecords records,
            PeerRequest.Reserve request,
            Option<StoredRecord.Charge> existing) {
        return existing.isEmpty() && request.tokens() > 0 && !resumesTurn(records, request);
    }

    private static boolean resumesTurn(ShardRecords records, PeerRequest.Reserve request) {
        return request.stream() instanceof StreamStart.Resumes(CallId firstCall)
                && records.charge(request.program(), firstCall).isDefined();
    }

    private static ShardTable.Decision grant(
            ShardRecords records, Epoch primarySince, PeerRequest.Reserve request, long nowMillis) {
        StoredRecord charge =
                new StoredRecord.Charge(
                        request.program(),
                        request.call(),
                        request.tokens(),
                        false,
                        nowMillis + CHARGE_RETENTION_MILLIS,
                        originToRecord(request.stream()));
        records.apply(charge);
        PeerReply reply =
                durableOrigin(records, request)
                        .<PeerReply>map(PeerReply.Reserved::new)
                        .getOrElse(PeerReply.Done::new);
        return new ShardTable.Decision.Replicate(Vector.of(charge), reply, primarySince);
    }

    private static Option<StreamOrigin> originToRecord(StreamStart stream) {
        return stream instanceof StreamStart.Begins(StreamOrigin origin)
                ? Option.some(origin)
                : Option.none();
    }

    /**
     * Returns the origin that the reply to a reservation states. The reply is sent only after the
     * write quorum has confirmed this host as the primary, so that no later origin is missed.
     */
    private static Option<StreamOrigin> durableOrigin(
            ShardRecords records, PeerRequest.Reserve request) {
        return switch (request.stream()) {
            case StreamStart.Untracked() -> Option.none();
            case StreamStart.Begins _ -> records.origin(request.program(), request.call());
            case StreamStart.Resumes(CallId firstCall) ->
                    records.origin(request.program(), firstCall);
        };
    }

    /** Returns the tokens charged to the other turns of the program of a reservation. */
    static ShardRecords.ChargedTokens charged(
            ShardRecords records, PeerRequest.Reserve request, long nowMillis) {
        long lostBeforeMillis = nowMillis - SETTLEMENT_TIMEOUT_MILLIS + CHARGE_RETENTION_MILLIS;
        return records.chargedToOtherTurns(request.program(), request.call(), lostBeforeMillis);
    }

    /** Returns the record that settles a turn. */
    static StoredRecord settlement(ProgramId program, CallId call, long tokens, long nowMillis) {
        return new StoredRecord.Charge(
                program, call, tokens, true, nowMillis + CHARGE_RETENTION_MILLIS, Option.none());
    }
}
