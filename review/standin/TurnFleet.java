import java.io.IOException;
import java.nio.file.*;
import java.util.List;
import java.util.stream.Stream;

/** Two entry hosts, some storage hosts and four model engines with one stateful route. */
final class TurnFleet {
    /** The largest program of the site file: six turns with 31,000 bytes of input each. */
    static final Turns.Shape LARGEST_PROGRAM = new Turns.Shape(6, 31_000, 60, "/check/1");

    private TurnFleet() {}

    /** Starts the hosts; returns whether all entry hosts have become ready. */
    static boolean start(Records records, Platform platform, Hosts hosts, int stores, int retentionSeconds)
            throws IOException, InterruptedException {
        platform.put(
                "op/config",
                Documents.config(
                        3,
                        Documents.route(
                                "check",
                                "streaming",
                                "models",
                                3_000,
                                ",\"stateful\":true,\"targetGapMs\":300,\"retentionS\":" + retentionSeconds),
                        Documents.service("models")));
        for (int i = 1; i <= 4; i++) {
            platform.register(new Engine("i-" + i, "models", "z" + i, records, Engine.stream(7, 25, 45)), 12);
        }
        for (int i = 1; i <= 2; i++) {
            hosts.add("edge-" + i, "z" + i, true);
        }
        for (int i = 1; i <= stores; i++) {
            hosts.add("storage-" + i, "z" + i, false);
        }
        return hosts.startAll(records);
    }

    /** Notes how much each storage host keeps on its disk. */
    static void sayLogs(Records records, Path folder, List<Hosts.Host> stores) throws IOException {
        StringBuilder line = new StringBuilder("MB on disk:");
        for (Hosts.Host store : stores) {
            try (Stream<Path> files = Files.walk(folder.resolve(store.name + "-data"))) {
                line.append(' ').append(files.mapToLong(file -> file.toFile().length()).sum() / 1_000_000);
            }
        }
        records.say(line.toString());
    }
}
