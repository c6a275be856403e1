package org.tamarackfold.endpoint.cost;

/**
 * An endpoint that may be selected for a call.
 *
 * @param hasSharedPart whether it is the one that calls with the same shared part of the prompt
 *     prefer
 * @param hash the rendezvous hash of the program and the endpoint, by which all hosts choose the
 *     same one of several equal endpoints; random for a call without a program
 * @param penalty the cost of reasons other than work and load, as a multiple of the work of the
 *     call
 */
public record Candidate(
        EndpointInstance instance, boolean hasSharedPart, double hash, double penalty) {}
