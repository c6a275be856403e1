package org.tamarackfold.peer;

import io.vavr.control.Option;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.CustomerName;
import org.tamarackfold.id.ProgramId;

/**
 * The turn that a call continues. Named by a reservation when the release has customers, so that a
 * call that may not continue the turn reserves nothing of the budget of its program.
 *
 * @param parent the turn
 * @param customer the customer of the call; none for an anonymous call on a public route
 */
public record ContinuedTurn(CallId parent, Option<CustomerName> customer) {
    /** Returns which turns a call of the given program may continue. */
    TurnAccess access(ProgramId program) {
        return new TurnAccess.Restricted(program, customer);
    }
}
