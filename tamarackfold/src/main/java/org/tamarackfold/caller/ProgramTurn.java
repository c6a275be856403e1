package org.tamarackfold.caller;

import io.vavr.control.Option;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.ProgramId;

/**
 * What a call says about the program that it is a turn of.
 *
 * @param program the program
 * @param parent the turn that it continues; none at the start of a conversation
 * @param budgetTokens the tokens that all turns of the program may generate
 * @param maximumTokens the most tokens that this turn generates
 */
public record ProgramTurn(
        ProgramId program, Option<CallId> parent, long budgetTokens, long maximumTokens) {}
