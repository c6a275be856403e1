package org.tamarackfold.operator.check.runtime;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Function;
import org.tamarackfold.operator.Release;
import org.tamarackfold.operator.check.CheckReport;
import org.tamarackfold.operator.check.Finding;
import org.tamarackfold.operator.check.ReleaseCheck;
import org.tamarackfold.operator.check.ReleaseComparison;
import org.tamarackfold.operator.toml.ReleaseFile;

/** Checks a release file in the TOML format of tamarackfold or the JSON format of a platform. */
public final class ReleaseFileCheck {
    private static final String JSON_SUFFIX = ".json";

    private final Function<byte[], Either<String, Release>> jsonDecoder;

    /** Creates a check that decodes files whose names end with {@code .json} by this decoder. */
    public ReleaseFileCheck(Function<byte[], Either<String, Release>> jsonDecoder) {
        this.jsonDecoder = jsonDecoder;
    }

    /**
     * Checks a file.
     *
     * @param inForce the file of the release in force, to compare with
     */
    public CheckReport check(Path file, Option<Path> inForce) {
        Either<String, Release> release = read(file);
        Option<Either<String, Release>> other = inForce.map(this::read);
        Vector<Finding> errors =
                error("release", release)
                        .appendAll(
                                other.toVector()
                                        .flatMap(known -> error("release in force", known)));
        if (release.isLeft()) {
            return new CheckReport(file.toString(), Option.none(), errors, Vector.empty());
        }
        Option<Release> comparable = other.flatMap(Either::toOption);
        Vector<Finding> findings =
                comparable
                        .map(known -> ReleaseCheck.findings(release.get(), known))
                        .getOrElse(() -> ReleaseCheck.findings(release.get()));
        return new CheckReport(
                file.toString(),
                Option.some(release.get().version()),
                errors.appendAll(findings),
                comparable
                        .map(known -> ReleaseComparison.differences(known, release.get()))
                        .getOrElse(Vector.empty()));
    }

    private static Vector<Finding> error(String subject, Either<String, Release> read) {
        return read.isLeft() ? Vector.of(Finding.error(subject, read.getLeft())) : Vector.empty();
    }

    private Either<String, Release> read(Path file) {
        byte[] content;
        try {
            content = Files.readAllBytes(file);
        } catch (IOException e) {
            return Either.left("the file cannot be read: " + e);
        }
        return file.toString().endsWith(JSON_SUFFIX)
                ? jsonDecoder.apply(content)
                : ReleaseFile.read(new String(content, StandardCharsets.UTF_8));
    }
}
