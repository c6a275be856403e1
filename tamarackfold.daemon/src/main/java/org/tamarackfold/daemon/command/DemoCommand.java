package org.tamarackfold.daemon.command;

import com.github.rvesse.airline.annotations.Command;
import java.io.IOException;
import java.nio.file.Files;
import org.tamarackfold.log.BoundedConsoleHandler;
import org.tamarackfold.standin.http.DemoSession;

/** Plays a session of an agent program against stand-ins. */
@Command(name = "demo", description = "Plays a session of an agent program on this machine")
public final class DemoCommand implements Runnable {
    private static final int FAILED = 1;

    /** Creates the command. */
    public DemoCommand() {}

    @Override
    public void run() {
        BoundedConsoleHandler.install(System.err);
        try {
            DemoSession.run(System.out, Files.createTempDirectory("tamarackfold-demo"));
            System.out.flush();
            System.exit(0);
        } catch (IOException e) {
            System.err.println("tamarackfold: demo failed: " + e);
            System.exit(FAILED);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
