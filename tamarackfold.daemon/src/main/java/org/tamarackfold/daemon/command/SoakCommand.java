package org.tamarackfold.daemon.command;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import io.vavr.collection.Vector;
import java.io.IOException;
import java.nio.file.Files;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tamarackfold.daemon.soak.runtime.SoakLoad;
import org.tamarackfold.daemon.soak.runtime.SoakOptions;
import org.tamarackfold.daemon.soak.runtime.SoakSession;
import org.tamarackfold.log.BoundedConsoleHandler;

/** Runs the fault soak; exits with status 1 when a promise was broken. */
@Command(
        name = "soak",
        description =
                "Runs hosts as processes on this machine, injects faults, checks the promises")
public final class SoakCommand implements Runnable {
    private static final int EXIT_FAILED = 1;

    @Option(name = "--seed", title = "number", description = "Decides faults and calls")
    private long seed = 1;

    @Option(name = "--minutes", title = "number", description = "Duration of the faults")
    private double minutes = 1;

    @Option(name = "--entry-hosts", title = "number", description = "Number of entry hosts")
    private int entryHosts = 3;

    @Option(name = "--storage-hosts", title = "number", description = "Number of storage hosts")
    private int storageHosts = 3;

    @Option(name = "--callers", title = "number", description = "Number of callers")
    private int callers = 16;

    @Option(
            name = "--faults",
            title = "selection",
            description =
                    "planned, unplanned, all, versions (all, with two software versions), cuts (hosts"
                            + " cut off from endpoints, beside planned work), keys (withdrawn"
                            + " while the key-value service rejects hosts, likewise),"
                            + " spoiled_responses (bytes of endpoints that are no response),"
                            + " spoiled_heads (malformed heads of endpoints), or"
                            + " crashing_requests (requests that end endpoints)")
    @AllowedRawValues(
            allowedValues = {
                "planned",
                "unplanned",
                "all",
                "versions",
                "cuts",
                "keys",
                "spoiled_responses",
                "spoiled_heads",
                "crashing_requests"
            })
    private String faults = "all";

    @Option(
            name = "--loads",
            title = "selection",
            description =
                    "Loads beside the callers, separated by commas: floods, slow_readers,"
                            + " speeds (of endpoints, with learned placement)")
    private String loads = "";

    /** Creates the command; the command-line parser sets its options. */
    public SoakCommand() {}

    @Override
    public void run() {
        BoundedConsoleHandler.install(System.err);
        try {
            Vector<String> violations = SoakSession.run(options(), System.out);
            System.out.flush();
            System.exit(violations.isEmpty() ? 0 : EXIT_FAILED);
        } catch (IOException | ExecutionException | IllegalArgumentException e) {
            System.err.println("tamarackfold: soak failed: " + e);
            System.exit(EXIT_FAILED);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private SoakOptions options() throws IOException {
        return new SoakOptions(
                seed,
                Duration.ofMillis(Math.round(minutes * 60_000)),
                entryHosts,
                storageHosts,
                callers,
                SoakOptions.FaultSelection.valueOf(faults.toUpperCase()),
                Stream.of(loads.split(","))
                        .filter(name -> !name.isBlank())
                        .map(name -> SoakLoad.valueOf(name.strip().toUpperCase()))
                        .collect(Collectors.toUnmodifiableSet()),
                Files.createTempDirectory("tamarackfold-soak-" + seed + "-"));
    }
}
