import java.nio.file.Path;
import java.util.List;

/** Storage hosts that are killed several times and can then not start any more. */
final class Case1 {
    /** Bounds of the site: `recoverS`, and the time for which the record is kept up after it. */
    private static final double RECOVER_SECONDS = 12;

    private static final double WATCHED_SECONDS = 9;

    /** Seconds from the start of traffic at which all storage processes are killed together. */
    private static final double[] KILLS = {17, 34, 51};

    /** Seconds from the start of traffic to the final fault: all processes are killed. */
    private static final double FINAL_FAULT = 75;

    private static final int LANES = 5;

    private Case1() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Path.of(arguments[0]);
        int status;
        try (Records records = new Records(Path.of(arguments[1]));
                Platform platform = new Platform();
                Hosts hosts = new Hosts(folder, platform.port)) {
            status = run(trouble, folder, records, platform, hosts);
            records.say("exit " + status);
        }
        System.exit(status);
    }

    private static int run(boolean trouble, Path folder, Records records, Platform platform, Hosts hosts) throws Exception {
        if (!TurnFleet.start(records, platform, hosts, 3, 5)) {
            return 2;
        }
        List<Hosts.Host> entries = hosts.entries();
        List<Hosts.Host> stores = hosts.stores();
        Thread.sleep(3_000);
        hosts.restartEnded(records);
        Turns turns = new Turns("", records, entries, TurnFleet.LARGEST_PROGRAM);
        double start = records.seconds();
        turns.start(LANES);
        for (double kill : KILLS) {
            records.sleepUntil(start + kill);
            TurnFleet.sayLogs(records, folder, stores);
            if (trouble) {
                killAll(records, stores);
            }
        }
        records.sleepUntil(start + FINAL_FAULT);
        TurnFleet.sayLogs(records, folder, stores);
        double fault = records.seconds();
        if (trouble) {
            killAll(records, hosts.all);
        }
        Thread.sleep(1_000);
        double back = records.seconds();
        records.say("all processes were started again");
        double judged = back + RECOVER_SECONDS;
        records.sleepUntil(judged + WATCHED_SECONDS);
        turns.stop();
        Thread.sleep(500);
        double before = turns.servedShare(start, fault);
        double after = turns.servedShare(judged, judged + WATCHED_SECONDS - 3.5);
        records.say("before the final fault: served %.3f of %s".formatted(before, turns.statuses(start, fault)));
        records.say("later than recoverS after it: served %.3f of %s".formatted(after, turns.statuses(judged, judged + WATCHED_SECONDS)));
        if (before < 0.25 || after < 0) {
            records.say("the case didn't run: too little was served before, or nothing was sent after");
            return 2;
        }
        boolean broken = after < 0.25;
        records.say(broken ? "RECOVER is broken" : "RECOVER holds");
        return broken ? 1 : 0;
    }

    private static void killAll(Records records, List<Hosts.Host> hosts) {
        records.say("SIGKILL to " + hosts.stream().map(host -> host.name).toList());
        hosts.forEach(host -> host.process.destroyForcibly());
    }
}
