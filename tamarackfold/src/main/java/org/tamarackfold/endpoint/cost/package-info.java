/**
 * Placement of calls by their expected cost: what a call costs, how fast each endpoint is, how much
 * work it has left, and what the hosts tell each other about it. Decisions only, without I/O.
 */
package org.tamarackfold.endpoint.cost;
