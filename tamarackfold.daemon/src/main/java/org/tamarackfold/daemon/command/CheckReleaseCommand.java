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

/** Checks a release file. */
@Command(name = "check-release", description = "Checks a release file in the product's own format")
public final class CheckReleaseCommand implements Runnable {
    private static final int INVALID = 2;

    @Arguments(title = "release", description = "Release file in TOML")
    @Required
    private String release;

    /** Creates the command. */
    public CheckReleaseCommand() {}

    @Override
    public void run() {
        Either<String, Release> result = read();
        if (result.isLeft()) {
            System.err.println(release + ": " + result.getLeft());
            System.exit(INVALID);
        }
        System.out.println(release + ": version " + result.get().version());
    }

    private Either<String, Release> read() {
        try {
            return ReleaseFile.read(Files.readString(Path.of(release)));
        } catch (IOException e) {
            return Either.left("cannot be read: " + e);
        }
    }
}
