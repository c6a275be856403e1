package org.tamarackfold.caller;

import io.vavr.control.Option;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.ProgramId;

/**
 * The metadata of a call that is a turn of an agent program.
 *
 * @param program the program whose token budget the turn uses
 * @param parent the turn whose history this turn continues; none for the first of a conversation
 * @param budgetTokens the tokens that all turns of the program together may generate
 * @param maximumTokens the upper bound of the tokens that this turn generates
 */
public record ProgramTurn(
        ProgramId program, Option<CallId> parent, long budgetTokens, long maximumTokens) {}
