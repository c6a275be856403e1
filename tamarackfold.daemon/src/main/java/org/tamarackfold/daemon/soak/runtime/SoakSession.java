package org.tamarackfold.daemon.soak.runtime;

import io.vavr.collection.Vector;
import java.io.IOException;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.function.Supplier;
import org.tamarackfold.daemon.soak.CallKind;
import org.tamarackfold.daemon.soak.ContinuedTurns;
import org.tamarackfold.daemon.soak.CrashChecks;
import org.tamarackfold.daemon.soak.Customer;
import org.tamarackfold.daemon.soak.CustomerChecks;
import org.tamarackfold.daemon.soak.Demand;
import org.tamarackfold.daemon.soak.FaultTimeline;
import org.tamarackfold.daemon.soak.KeyTable;
import org.tamarackfold.daemon.soak.Ledger;
import org.tamarackfold.daemon.soak.Rule;
import org.tamarackfold.daemon.soak.ServedShares;
import org.tamarackfold.daemon.soak.http.Caller;
import org.tamarackfold.daemon.soak.http.CrashingCaller;
import org.tamarackfold.daemon.soak.http.MalformedCaller;
import org.tamarackfold.id.CustomerName;
import org.tamarackfold.transport.IoRuntime;

/**
 * One run of the fault soak: starts the processes and stand-ins, lets callers work, injects faults
 * in episodes, and checks that the service returns after each.
 */
public final class SoakSession {
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration PLANNED_EPISODE = Duration.ofSeconds(25);
    private static final Duration UNPLANNED_EPISODE = Duration.ofSeconds(12);

    /** Time within which the service must be back after the last fault. */
    private static final Duration RECOVERY = Duration.ofSeconds(12);

    private static final Duration RECOVERY_WINDOW = Duration.ofSeconds(4);
    private static final long POLL_MILLIS = 100;

    /** Attempts of a kind of which at least one must be served in a run. */
    private static final int LEAST_ATTEMPTS = 10;

    /** One of so many attempts must be served after the recovery. */
    private static final int RECOVERED_PART = 4;

    private static final Vector<Customer> CUSTOMERS =
            Vector.of(
                    new Customer(new CustomerName("customer-a"), 60, 60, new Demand.Steady()),
                    new Customer(new CustomerName("customer-b"), 60, 60, new Demand.Steady()),
                    new Customer(new CustomerName("customer-c"), 10, 5, new Demand.Surges()));

    private final SoakOptions options;
    private final PrintStream out;
    private final FaultTimeline timeline = new FaultTimeline();
    private final Ledger ledger;
    private final KeyTable keys;
    private final CustomerChecks checks;
    private final CrashChecks crashes;
    private final ServedShares shares;
    private final ContinuedTurns turns;
    private final IoRuntime callerRuntime;
    private final List<Caller> callers = new ArrayList<>();
    private final List<CrashingCaller> crashingCallers = new ArrayList<>();
    private final List<MalformedCaller> malformedCallers = new ArrayList<>();
    private final List<Thread> callerThreads = new ArrayList<>();

    private SoakSession(SoakOptions options, IoRuntime callerRuntime, PrintStream out) {
        this.options = options;
        this.callerRuntime = callerRuntime;
        this.out = out;
        ledger = new Ledger(timeline, out, options.seed(), Fleet.GRACE_MILLIS * 1_000_000);
        Vector<Customer> added = addedCallers().map(SoakLoad.Callers::customer);
        keys = new KeyTable(CUSTOMERS.appendAll(added));
        checks = new CustomerChecks(ledger, timeline, keys);
        turns = new ContinuedTurns(ledger, timeline);
        crashes = new CrashChecks(ledger);
        shares = new ServedShares(ledger, timeline, options.loads().contains(SoakLoad.FLOODS));
    }

    /**
     * Runs a soak and returns the violations, of which each has been printed with its time.
     *
     * @param out receives faults, violations and a summary
     */
    public static Vector<String> run(SoakOptions options, PrintStream out)
            throws IOException, InterruptedException, ExecutionException {
        IoRuntime callerRuntime = IoRuntime.start(1);
        try {
            SoakSession session = new SoakSession(options, callerRuntime, out);
            session.run();
            return session.ledger.violations();
        } finally {
            callerRuntime.stop();
        }
    }

    private void run() throws IOException, InterruptedException, ExecutionException {
        try (Fleet fleet = new Fleet(options, timeline, ledger, checks, crashes, keys);
                FaultInjector injector = new FaultInjector(fleet, timeline, ledger, out)) {
            FaultTimeline.Entry start = timeline.begin("start", FaultTimeline.Kind.UNPLANNED);
            startCallers(fleet);
            awaitService();
            startAddedCallers(fleet);
            startCrashingCallers(fleet);
            startMalformedCaller(fleet);
            start.end();
            shares.begin();
            long startNanos = System.nanoTime();
            runEpisodes(fleet, injector);
            shares.check(startNanos, System.nanoTime());
            turns.check();
            checkKinds();
            callers.forEach(Caller::stop);
            crashingCallers.forEach(CrashingCaller::stop);
            malformedCallers.forEach(MalformedCaller::stop);
            for (Thread thread : callerThreads) {
                thread.join();
            }
        }
        out.println("crashed seed=%d %s".formatted(options.seed(), crashes.counts()));
        malformedCallers.forEach(
                caller ->
                        out.println(
                                "malformed seed=%d rejected=%d"
                                        .formatted(options.seed(), caller.rejected())));
        out.println("served seed=%d %s".formatted(options.seed(), shares.summary()));
        out.println(
                "seed=%d violations=%d attempts=%s logs=%s"
                        .formatted(
                                options.seed(),
                                ledger.violations().size(),
                                ledger.counts(),
                                options.folder()));
    }

    private Vector<SoakLoad.Callers> addedCallers() {
        return Vector.ofAll(options.loads()).sorted().flatMap(SoakLoad::callers);
    }

    private void startCallers(Fleet fleet) {
        for (int i = 1; i <= options.callers(); i++) {
            startCaller(fleet, i, CUSTOMERS.get(i % CUSTOMERS.size()));
        }
    }

    /** Starts the loads once the service is there: beside them, hosts take longer to start. */
    private void startAddedCallers(Fleet fleet) {
        int number = options.callers();
        for (SoakLoad.Callers added : addedCallers()) {
            for (int i = 0; i < added.count(); i++) {
                startCaller(fleet, ++number, added.customer());
            }
        }
    }

    /** Starts a caller for each kind of call, whose request crashes endpoints. */
    private void startCrashingCallers(Fleet fleet) {
        if (options.faults() != SoakOptions.FaultSelection.CRASHING_REQUESTS) {
            return;
        }
        Vector<CallKind> kinds =
                Vector.of(new CallKind.Plain(), new CallKind.Once(), new CallKind.Turn(1));
        for (CallKind kind : kinds) {
            CrashingCaller caller =
                    new CrashingCaller(
                            callerRuntime,
                            kind,
                            CUSTOMERS.head(),
                            keys,
                            fleet.entryHosts,
                            options.seed() * 1_000 + crashingCallers.size());
            crashingCallers.add(caller);
            callerThreads.add(Thread.ofVirtual().start(caller));
        }
    }

    /** Starts a caller whose requests must not run. */
    private void startMalformedCaller(Fleet fleet) {
        MalformedCaller caller =
                new MalformedCaller(
                        ledger, CUSTOMERS.head(), keys, fleet.entryHosts, options.seed());
        malformedCallers.add(caller);
        callerThreads.add(Thread.ofVirtual().start(caller));
    }

    private void startCaller(Fleet fleet, int number, Customer customer) {
        Caller caller =
                new Caller(
                        callerRuntime,
                        "c" + number,
                        customer,
                        ledger,
                        checks,
                        keys,
                        shares,
                        turns,
                        fleet.entryHosts,
                        options.seed() * 1_000 + number);
        callers.add(caller);
        callerThreads.add(Thread.ofVirtual().start(caller));
    }

    /** Waits until each kind of call has been served. */
    private void awaitService() throws InterruptedException {
        long deadlineNanos = System.nanoTime() + START_TIMEOUT.toNanos();
        while (served(ledger.counts()).size() < 5) {
            if (System.nanoTime() - deadlineNanos > 0) {
                ledger.report(Rule.RECOVER, "none", "not all kinds served after the start");
                return;
            }
            Thread.sleep(POLL_MILLIS);
        }
    }

    private static Vector<String> served(Map<String, Integer> counts) {
        return Vector.ofAll(counts.keySet())
                .filter(name -> name.endsWith(" served") && !name.startsWith(CallKind.SURGE_LABEL));
    }

    /** Alternates between planned work, whose bounds are strict, and unplanned faults. */
    private void runEpisodes(Fleet fleet, FaultInjector injector)
            throws InterruptedException, ExecutionException {
        SoakOptions.FaultSelection faults = options.faults();
        FaultPlan plan = new FaultPlan(fleet, new Random(options.seed()), faults);
        long endNanos = System.nanoTime() + options.duration().toNanos();
        while (System.nanoTime() - endNanos < 0) {
            Thread.sleep(FaultTimeline.CONTACT_NANOS / 1_000_000);
            if (faults.hasPlannedEpisodes()) {
                episode(plan, injector, plan::nextPlanned, min(PLANNED_EPISODE, endNanos));
            }
            if (faults != SoakOptions.FaultSelection.PLANNED) {
                episode(plan, injector, plan::nextUnplanned, min(UNPLANNED_EPISODE, endNanos));
                checkRecovery();
            }
        }
    }

    private static Duration min(Duration episode, long endNanos) {
        Duration left = Duration.ofNanos(endNanos - System.nanoTime());
        Duration least = Duration.ofSeconds(5);
        return left.compareTo(least) < 0 ? least : left.compareTo(episode) < 0 ? left : episode;
    }

    private static void episode(
            FaultPlan plan, FaultInjector injector, Supplier<Fault> next, Duration duration)
            throws InterruptedException, ExecutionException {
        long endNanos = System.nanoTime() + duration.toNanos();
        List<Future<?>> running = new ArrayList<>();
        while (System.nanoTime() - endNanos < 0) {
            running.add(injector.inject(next.get()));
            Thread.sleep(plan.nextPauseMillis());
        }
        for (Future<?> fault : running) {
            fault.get();
        }
    }

    /** Checks each kind of call after the time that the service has for its recovery. */
    private void checkRecovery() throws InterruptedException {
        Thread.sleep(RECOVERY);
        Map<String, Integer> before = ledger.counts();
        Thread.sleep(RECOVERY_WINDOW);
        Map<String, Integer> after = ledger.counts();
        for (String name : served(after)) {
            String route = name.substring(0, name.indexOf(' ') + 1);
            int attempts = count(after, route) - count(before, route);
            int served = count(after, name) - count(before, name);
            if (served * RECOVERED_PART < attempts) {
                String seen = "%d of %d attempts of route %sserved 12 s after the last fault";
                ledger.report(Rule.RECOVER, "none", seen.formatted(served, attempts, route));
            }
        }
    }

    /** Checks that some attempts of each kind were served; else the run shows nothing of it. */
    private void checkKinds() {
        Map<String, Integer> counts = ledger.counts();
        Vector.ofAll(counts.keySet())
                .map(name -> name.substring(0, name.indexOf(' ') + 1))
                .distinct()
                .filter(label -> !label.startsWith(CallKind.FOREIGN_LABEL))
                .filter(label -> count(counts, label) >= LEAST_ATTEMPTS)
                .filter(label -> !counts.containsKey(label + "served"))
                .forEach(
                        label ->
                                ledger.report(
                                        Rule.RECOVER, "none", "no %scall served".formatted(label)));
    }

    private static int count(Map<String, Integer> counts, String prefix) {
        return counts.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(prefix))
                .mapToInt(Map.Entry::getValue)
                .sum();
    }
}
