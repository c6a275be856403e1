package org.tamarackfold.caller.limit;

/** What a host may grant of the limit of a customer. */
public sealed interface Ownership {
    /**
     * The whole limit.
     *
     * @param sinceNanos when the host became the owner; its predecessor may have granted permits
     *     until then
     */
    record Owner(long sinceNanos) implements Ownership {}

    /** A small part, because the owner may be running. */
    record Fallback() implements Ownership {}

    /** Nothing. */
    record None() implements Ownership {}
}
