package org.tamarackfold.log;

import java.util.logging.LogManager;

/**
 * Log manager that keeps its handlers during JVM shutdown. The default one removes them in a
 * shutdown hook of its own, which would lose the last log lines of a stopping host.
 */
public final class ShutdownLogManager extends LogManager {
    /** Creates the manager; called by the JDK when java.util.logging.manager names this class. */
    public ShutdownLogManager() {}

    @Override
    public void reset() {
        // Keeps the handlers; the host closes its own at the end of its shutdown hook.
    }
}
