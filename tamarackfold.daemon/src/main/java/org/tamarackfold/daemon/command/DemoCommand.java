package org.tamarackfold.daemon.command;

import com.github.rvesse.airline.annotations.Command;
import java.io.IOException;
import java.nio.file.Files;
import org.tamarackfold.log.BoundedConsoleHandler;
import org.tamarackfold.standin.http.DemoSession;

/** Runs a session of a small agent program against hosts and engines in this process. */
@Command(
        name = "demo",
        description = "Runs a session of a small agent program on this machine and prints it")
public final class DemoCommand implements Runnable {
    private static final int EXIT_FAILED = 1;

    /** Creates the command; it has no arguments. */
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
            System.exit(EXIT_FAILED);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
