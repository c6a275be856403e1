package org.tamarackfold.daemon.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.tamarackfold.operator.Release;
import org.tamarackfold.operator.toml.ReleaseFile;

/** Checks a release file and prints its version, or the error and exits with status 2. */
@Command(
        name = "check-release",
        description = "Checks a release file in the TOML format of tamarackfold")
public final class CheckReleaseCommand implements Runnable {
    private static final int EXIT_INVALID = 2;

    @Arguments(title = "release", description = "Release file in TOML")
    @Required
    private String releasePath;

    /** Creates the command; the command-line parser sets its arguments. */
    public CheckReleaseCommand() {}

    @Override
    public void run() {
        Either<String, Release> result = read();
        if (result.isLeft()) {
            System.err.println(releasePath + ": " + result.getLeft());
            System.exit(EXIT_INVALID);
        }
        System.out.println(releasePath + ": version " + result.get().version());
    }

    private Either<String, Release> read() {
        try {
            return ReleaseFile.read(Files.readString(Path.of(releasePath)));
        } catch (IOException e) {
            return Either.left("cannot be read: " + e);
        }
    }
}
