package org.tamarackfold.transport;

/** Why no connection to a server was opened. */
public sealed interface ConnectFailure {
    /** Nothing listens at the address, or the connection was reset while it was opened. */
    record Refused(String message) implements ConnectFailure {
        @Override
        public String toString() {
            return "connect failed: " + message;
        }
    }

    /** The server has not answered within the timeout. */
    record TimedOut() implements ConnectFailure {
        @Override
        public String toString() {
            return "connect timed out";
        }
    }

    /** The connection could not be opened for another reason, such as a missing path. */
    record Failed(String message) implements ConnectFailure {
        @Override
        public String toString() {
            return "connect failed: " + message;
        }
    }
}
