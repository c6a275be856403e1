package org.tamarackfold.peer;

import io.vavr.control.Option;
import java.util.List;
import org.tamarackfold.caller.CallClaim;
import org.tamarackfold.caller.CallReply;
import org.tamarackfold.caller.CallRequest;
import org.tamarackfold.caller.ProgramHeader;
import org.tamarackfold.caller.ProgramRecord;
import org.tamarackfold.id.CallKey;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.ExchangeId;
import org.tamarackfold.id.Generation;
import org.tamarackfold.id.ProgramId;
import org.tamarackfold.id.ReleaseVersion;
import org.tamarackfold.operator.Release;

/**
 * Message from one node to another. Delivery is at most once, unordered and without
 * acknowledgement.
 */
public sealed interface PeerMessage {

    /**
     * Asks a witness to record a call before it is dispatched.
     *
     * @param header the program, under the generation that the call runs under
     * @param claim the call
     * @param settlements claims of earlier calls whose outcome became known
     */
    record Claim(ProgramHeader header, CallClaim claim, List<CallClaim> settlements)
            implements PeerMessage {}

    /**
     * Answers {@link Claim}.
     *
     * @param program the program
     * @param generation the generation of the claim
     * @param key the call
     * @param verdict whether the claim is recorded
     */
    record ClaimAnswer(ProgramId program, Generation generation, CallKey key, Verdict verdict)
            implements PeerMessage {}

    /**
     * Tells a witness the outcomes of calls.
     *
     * @param header the program
     * @param settlements the claims with their outcome
     * @param ended whether the program has ended
     */
    record Settle(ProgramHeader header, List<CallClaim> settlements, boolean ended)
            implements PeerMessage {}

    /**
     * First phase of a takeover: asks a replica to reject claims of this generation and lower
     * ballots.
     *
     * @param header the program, under the generation to be succeeded
     * @param ballot the ballot
     */
    record Prepare(ProgramHeader header, Ballot ballot) implements PeerMessage {}

    /**
     * Answers {@link Prepare}.
     *
     * @param program the program
     * @param generation the generation to be succeeded
     * @param ballot the ballot of the request
     * @param verdict whether the promise was made
     * @param promised the highest ballot promised
     * @param accepted the successor accepted so far, with its ballot
     * @param known the record at this replica
     */
    record Promise(
            ProgramId program,
            Generation generation,
            Ballot ballot,
            Verdict verdict,
            Ballot promised,
            Option<AcceptedSuccessor> accepted,
            Option<ProgramRecord> known)
            implements PeerMessage {}

    /**
     * A successor that a replica has accepted.
     *
     * @param ballot the ballot under which it was accepted
     * @param successor the record of the next generation
     */
    record AcceptedSuccessor(Ballot ballot, ProgramRecord successor) {}

    /**
     * Second phase of a takeover: asks a replica to accept the successor.
     *
     * @param header the program, under the generation to be succeeded
     * @param ballot the ballot
     * @param successor the record of the next generation
     */
    record Accept(ProgramHeader header, Ballot ballot, ProgramRecord successor)
            implements PeerMessage {}

    /**
     * Answers {@link Accept}.
     *
     * @param program the program
     * @param generation the generation to be succeeded
     * @param ballot the ballot of the request
     * @param verdict whether the successor was accepted
     */
    record Accepted(ProgramId program, Generation generation, Ballot ballot, Verdict verdict)
            implements PeerMessage {}

    /**
     * Gives a witness of the next generation its copy of the record.
     *
     * @param successor the record
     */
    record Install(ProgramRecord successor) implements PeerMessage {}

    /**
     * Answers {@link Install}.
     *
     * @param program the program
     * @param generation the generation of the installed record
     * @param verdict whether it is installed
     */
    record Installed(ProgramId program, Generation generation, Verdict verdict)
            implements PeerMessage {}

    /**
     * Passes a call to the primary of its program.
     *
     * @param exchange the exchange on the sending node
     * @param request the call
     */
    record Forward(ExchangeId exchange, CallRequest request) implements PeerMessage {}

    /**
     * Confirms that a forwarded call has arrived.
     *
     * @param exchange the exchange on the node that forwarded
     */
    record ForwardReceived(ExchangeId exchange) implements PeerMessage {}

    /**
     * Answers {@link Forward} and {@link ForwardEnd}.
     *
     * @param exchange the exchange on the node that forwarded
     * @param reply the reply
     */
    record ForwardAnswer(ExchangeId exchange, CallReply reply) implements PeerMessage {}

    /**
     * Passes the end of a program to its primary.
     *
     * @param exchange the exchange on the sending node
     * @param header the program
     */
    record ForwardEnd(ExchangeId exchange, ProgramHeader header) implements PeerMessage {}

    /**
     * Asks the owner of an endpoint for a slot.
     *
     * @param request the request
     */
    record Admit(AdmissionRequest request) implements PeerMessage {}

    /**
     * Grants a slot until it is finished or its lease lapses.
     *
     * @param ticket the ticket of the request
     */
    record Grant(Ticket ticket) implements PeerMessage {}

    /**
     * Refuses a slot; the call was not sent to the endpoint.
     *
     * @param ticket the ticket of the request
     * @param retryAfterMillis when another attempt makes sense, in milliseconds
     */
    record Evict(Ticket ticket, long retryAfterMillis) implements PeerMessage {}

    /**
     * Returns a slot or withdraws a request for one.
     *
     * @param ticket the ticket
     * @param observation what the call showed about the endpoint, when it ran
     */
    record Finished(Ticket ticket, Option<EndpointObservation> observation)
            implements PeerMessage {}

    /**
     * Renews the leases of engine memory held for programs.
     *
     * @param holds the memory held
     */
    record RenewHolds(List<Hold> holds) implements PeerMessage {}

    /**
     * Engine memory held for a program.
     *
     * @param endpoint the engine
     * @param program the program
     */
    record Hold(EndpointId endpoint, ProgramId program) {}

    /**
     * Pushes the release in force.
     *
     * @param release the release
     */
    record ReleasePush(Release release) implements PeerMessage {}

    /**
     * Asks for a release newer than the one known.
     *
     * @param known the version known
     */
    record ReleasePull(ReleaseVersion known) implements PeerMessage {}
}
