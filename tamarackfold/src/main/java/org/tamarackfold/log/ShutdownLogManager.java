package org.tamarackfold.log;

import java.util.logging.LogManager;

/**
 * Log manager that keeps its handlers while the process shuts down. The standard one removes them
 * at once, so that the last lines of a stopping host would be lost.
 */
public final class ShutdownLogManager extends LogManager {
    /** Creates the manager; the JDK does so when the system property names this class. */
    public ShutdownLogManager() {}

    @Override
    public void reset() {
        // The handlers of a host stay until the process ends.
    }
}
