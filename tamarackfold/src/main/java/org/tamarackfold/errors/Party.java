package org.tamarackfold.errors;

/** The party, a service or host, that a failed call was sent to. */
public sealed interface Party {
    /** The key-value service of the platform. */
    record KeyValueService() implements Party {}

    /** Returns the name of the party, as used in logs and replies. */
    default String label() {
        return switch (this) {
            case KeyValueService() -> "key-value service";
        };
    }
}
