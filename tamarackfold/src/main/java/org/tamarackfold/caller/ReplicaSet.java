package org.tamarackfold.caller;

import io.vavr.control.Option;
import java.util.List;
import org.tamarackfold.id.HostId;
import org.tamarackfold.id.MemberId;

/**
 * The nodes that hold copies of a program record.
 *
 * @param primary the node that runs the program's calls
 * @param witnesses up to two nodes in other availability zones
 */
public record ReplicaSet(MemberId primary, List<MemberId> witnesses) {
    /** Copies the list. */
    public ReplicaSet {
        witnesses = List.copyOf(witnesses);
    }

    /** Returns the number of copies that make a majority. */
    public int majority() {
        return (witnesses.size() + 1) / 2 + 1;
    }

    /** Returns all members, the primary first. */
    public List<MemberId> members() {
        return io.vavr.collection.List.ofAll(witnesses).prepend(primary).asJava();
    }

    /** Returns the member on a host. */
    public Option<MemberId> memberOn(HostId host) {
        return io.vavr.collection.List.ofAll(members()).find(member -> member.host().equals(host));
    }

    /** Tells whether this very run of a process is a member. */
    public boolean contains(MemberId member) {
        return members().contains(member);
    }
}
