package org.tamarackfold.caller;

import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import org.tamarackfold.id.CallKey;

/**
 * A copy of what must survive of a program: its header and the claims of its calls.
 *
 * @param header the header
 * @param claims the claims by call
 * @param ended whether the program has ended
 */
public record ProgramRecord(ProgramHeader header, Map<CallKey, CallClaim> claims, boolean ended) {
    /** Returns an empty record. */
    public static ProgramRecord empty(ProgramHeader header) {
        return new ProgramRecord(header, LinkedHashMap.empty(), false);
    }

    /** Returns this record with a claim added or replaced. */
    public ProgramRecord with(CallClaim claim) {
        return new ProgramRecord(header, claims.put(claim.key(), claim), ended);
    }

    /** Returns this record under another header. */
    public ProgramRecord under(ProgramHeader next) {
        return new ProgramRecord(next, claims, ended);
    }

    /** Returns this record marked as ended. */
    public ProgramRecord asEnded() {
        return new ProgramRecord(header, claims, true);
    }

    /** Returns what all claims count against the budget, in tokens. */
    public long chargedTokens() {
        return claims.values().map(CallClaim::chargedTokens).sum().longValue();
    }
}
