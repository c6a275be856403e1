package org.tamarackfold.peer;

import io.vavr.control.Option;
import org.tamarackfold.id.CustomerName;
import org.tamarackfold.id.ProgramId;

/** Which turns a call may continue. */
public sealed interface TurnAccess {
    /**
     * All turns. Asked for when the release has no customers, and by hosts of earlier versions,
     * whose releases have none.
     */
    record Unrestricted() implements TurnAccess {}

    /**
     * The turns of the customer, and those without a customer that the program itself has created.
     *
     * @param program the program of the call
     * @param customer the customer of the call; none for an anonymous call on a public route
     */
    record Restricted(ProgramId program, Option<CustomerName> customer) implements TurnAccess {}
}
