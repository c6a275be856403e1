package org.tamarackfold.daemon.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.tamarackfold.daemon.HostDaemon;

/** Runs one host. */
@Command(name = "host", description = "Runs one host until it is asked to stop")
public final class HostCommand implements Runnable {
    @Arguments(title = "settings", description = "Settings file in TOML")
    @Required
    private String settings;

    /** Creates the command. */
    public HostCommand() {}

    @Override
    public void run() {
        try {
            HostDaemon.main(new String[] {settings});
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
