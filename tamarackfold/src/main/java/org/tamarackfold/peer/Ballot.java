package org.tamarackfold.peer;

import org.tamarackfold.id.HostId;

/**
 * Ballot of a takeover attempt; totally ordered.
 *
 * @param round the round, from 1
 * @param proposer the proposing host
 */
public record Ballot(long round, HostId proposer) implements Comparable<Ballot> {
    @Override
    public int compareTo(Ballot other) {
        int byRound = Long.compare(round, other.round);
        return byRound != 0 ? byRound : proposer.compareTo(other.proposer);
    }
}
