package org.tamarackfold.daemon.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.nio.file.Path;
import org.tamarackfold.settings.HostSettings;
import org.tamarackfold.settings.toml.SettingsFile;

/** Checks a settings file. */
@Command(name = "check-settings", description = "Checks a settings file without starting a host")
public final class CheckSettingsCommand implements Runnable {
    private static final int INVALID = 2;

    @Arguments(title = "settings", description = "Settings file in TOML")
    @Required
    private String settings;

    /** Creates the command. */
    public CheckSettingsCommand() {}

    @Override
    public void run() {
        Either<Vector<String>, HostSettings> result = SettingsFile.read(Path.of(settings));
        if (result.isLeft()) {
            result.getLeft().forEach(System.err::println);
            System.exit(INVALID);
        }
        System.out.println(settings + ": " + result.get().role() + " " + result.get().host());
    }
}
