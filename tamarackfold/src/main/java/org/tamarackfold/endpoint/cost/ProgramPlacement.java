package org.tamarackfold.endpoint.cost;

import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.ProgramId;

/** The endpoint at which the last turn of a program runs, and which keeps its history. */
public record ProgramPlacement(ProgramId program, EndpointId endpoint) {}
