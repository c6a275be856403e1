package org.tamarackfold.daemon.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.file.Path;
import org.tamarackfold.operator.check.CheckReport;
import org.tamarackfold.operator.check.runtime.JsonReport;
import org.tamarackfold.operator.check.runtime.ReleaseFileCheck;
import org.tamarackfold.platform.FleetAdapter;

/**
 * Checks a release file and prints what was found; exits with status 1 for warnings and 2 for
 * errors.
 */
@Command(
        name = "check-release",
        description =
                "Checks a release file, in the TOML format of tamarackfold or the JSON format of"
                        + " the platform")
public final class CheckReleaseCommand implements Runnable {
    @Arguments(title = "release", description = "Release file, .toml or .json")
    @Required
    private String releasePath;

    @Option(
            name = "--against",
            title = "release",
            description = "File of the release in force; prints what would change")
    private String inForcePath;

    @Option(name = "--json", description = "Prints the result as JSON")
    private boolean json;

    /** Creates the command; the command-line parser sets its arguments. */
    public CheckReleaseCommand() {}

    @Override
    public void run() {
        CheckReport report =
                new ReleaseFileCheck(new FleetAdapter()::decodeRelease)
                        .check(
                                Path.of(releasePath),
                                io.vavr.control.Option.of(inForcePath).map(Path::of));
        System.out.print(json ? JsonReport.encode(report) : report.toText());
        System.out.flush();
        System.exit(report.exitStatus());
    }
}
