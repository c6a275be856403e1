package org.tamarackfold.operator.check;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.tamarackfold.id.ReleaseVersion;

/**
 * The result of the check of a release file.
 *
 * @param file the name of the file
 * @param version the version of the release; none when the file cannot be decoded
 * @param findings what its operators should change
 * @param differences what it changes compared with the version in force, if one is given
 */
public record CheckReport(
        String file,
        Option<ReleaseVersion> version,
        Vector<Finding> findings,
        Vector<Difference> differences) {
    private static final int EXIT_WARNINGS = 1;
    private static final int EXIT_ERRORS = 2;

    /** Returns the exit status of the command: 0 without findings, 1 for warnings, 2 for errors. */
    public int exitStatus() {
        if (findings.exists(finding -> finding.severity() == Finding.Severity.ERROR)) {
            return EXIT_ERRORS;
        }
        return findings.isEmpty() ? 0 : EXIT_WARNINGS;
    }

    /** Returns the report as lines of text, each of which begins with the name of the file. */
    public String toText() {
        Vector<String> lines =
                version.map(known -> "version " + known)
                        .toVector()
                        .appendAll(findings.map(CheckReport::line))
                        .appendAll(
                                differences.map(
                                        difference ->
                                                "difference: "
                                                        + difference.subject()
                                                        + ": "
                                                        + difference.message()));
        return lines.map(line -> file + ": " + line + "\n").mkString();
    }

    private static String line(Finding finding) {
        String severity =
                switch (finding.severity()) {
                    case WARNING -> "warning";
                    case ERROR -> "error";
                };
        return severity + ": " + finding.subject() + ": " + finding.message();
    }
}
