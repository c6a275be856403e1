package org.tamarackfold.daemon.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.tamarackfold.daemon.HostDaemon;

/** Runs one host; the same as starting {@link HostDaemon} with the settings file. */
@Command(name = "host", description = "Runs one host until the process is terminated")
public final class HostCommand implements Runnable {
    @Arguments(title = "settings", description = "Settings file in TOML")
    @Required
    private String settingsPath;

    /** Creates the command; the command-line parser sets its arguments. */
    public HostCommand() {}

    @Override
    public void run() {
        try {
            HostDaemon.main(new String[] {settingsPath});
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
