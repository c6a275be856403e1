package org.tamarackfold.errors;

/** The party at which a failure arose. */
public sealed interface Party {
    /** The key-value service of the platform. */
    record KeyValueService() implements Party {}

    /** Returns the text form used in logs and replies. */
    default String label() {
        return switch (this) {
            case KeyValueService() -> "key-value service";
        };
    }
}
