package org.tamarackfold.caller;

import org.tamarackfold.id.CustomerName;

/** Who makes a call, as the entry host that accepts it has determined. */
public sealed interface CallerIdentity {
    /** The call belongs to no customer: it needs no key. */
    record Anonymous() implements CallerIdentity {}

    /**
     * The call belongs to a customer.
     *
     * @param name the customer that holds the key of the caller
     */
    record OfCustomer(CustomerName name) implements CallerIdentity {}

    /**
     * The call needs a key and has no valid one; it is not run.
     *
     * @param cause what is wrong with the key
     */
    record Rejected(Cause cause) implements CallerIdentity {}

    /** What is wrong with the key of a rejected call. */
    enum Cause {
        /** No header holds a key, or it has another scheme than Bearer. */
        NO_KEY("no_key"),
        /** No customer holds the key. */
        UNKNOWN_KEY("unknown_key"),
        /** Several headers hold keys, of which another host might read another one. */
        SEVERAL_HEADERS("several_headers"),
        /** The key is longer than any key may be. */
        KEY_TOO_LONG("key_too_long"),
        /** The header contains control characters. */
        CONTROL_CHARACTERS("control_characters");

        private final String label;

        Cause(String label) {
            this.label = label;
        }

        /** Returns the name of this cause in logs and metric labels. */
        public String label() {
            return label;
        }
    }
}
