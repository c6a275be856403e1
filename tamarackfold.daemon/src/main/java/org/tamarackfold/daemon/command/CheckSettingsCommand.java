package org.tamarackfold.daemon.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.nio.file.Path;
import org.tamarackfold.settings.HostSettings;
import org.tamarackfold.settings.toml.SettingsFile;

/** Checks a settings file and prints its role and host, or all errors and exits with status 2. */
@Command(name = "check-settings", description = "Checks a settings file without starting a host")
public final class CheckSettingsCommand implements Runnable {
    private static final int EXIT_INVALID = 2;

    @Arguments(title = "settings", description = "Settings file in TOML")
    @Required
    private String settingsPath;

    /** Creates the command; the command-line parser sets its arguments. */
    public CheckSettingsCommand() {}

    @Override
    public void run() {
        Either<Vector<String>, HostSettings> result = SettingsFile.read(Path.of(settingsPath));
        if (result.isLeft()) {
            result.getLeft().forEach(System.err::println);
            System.exit(EXIT_INVALID);
        }
        System.out.println(settingsPath + ": " + result.get().role() + " " + result.get().host());
    }
}
