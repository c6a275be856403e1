import java.io.IOException;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that run programs on a stateful route, one after the other in each lane: a chain of turns,
 * each of which carries its new input and names the turn before. A turn that fails is sent again
 * after 0.1 to 0.4 s, at most twice; then the program ends and the next one begins.
 */
final class Turns {
    /**
     * One request.
     *
     * @param at when it was sent
     * @param status the status of its answer; 0 without one
     * @param whole whether the answer was whole
     */
    record Sent(String id, double at, int status, boolean whole) {
        boolean served() {
            return status == 200 && whole;
        }
    }

    /** Sizes of the programs. */
    record Shape(int turns, int inputBytes, int thinkMillis, String path) {}

    final Queue<Sent> sent = new ConcurrentLinkedQueue<>();
    private final String prefix;
    private final Records records;
    private final List<Hosts.Host> entries;
    private final Shape shape;
    private final AtomicInteger ids = new AtomicInteger();
    private volatile boolean over;

    /** Creates clients whose ids begin with a prefix. */
    Turns(String prefix, Records records, List<Hosts.Host> entries, Shape shape) {
        this.prefix = prefix;
        this.records = records;
        this.entries = entries;
        this.shape = shape;
    }

    void start(int lanes) {
        for (int lane = 0; lane < lanes; lane++) {
            int first = lane;
            Thread.ofPlatform().daemon().start(() -> runPrograms(first));
        }
    }

    void stop() {
        over = true;
    }

    private void runPrograms(int lane) {
        Random random = new Random(lane);
        Client[] kept = {null};
        try {
            while (!over) {
                runProgram(random, kept);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void runProgram(Random random, Client[] kept) throws InterruptedException {
        String program = prefix + "p%05d".formatted(ids.incrementAndGet());
        String parent = null;
        for (int turn = 0; turn < shape.turns() && !over; turn++) {
            String served = null;
            for (int attempt = 0; attempt < 3 && served == null && !over; attempt++) {
                if (attempt > 0) {
                    Thread.sleep(100 + random.nextInt(300));
                }
                served = send(program, parent, random, kept);
            }
            if (served == null) {
                return;
            }
            parent = served;
            Thread.sleep(shape.thinkMillis());
        }
    }

    /** Sends a turn; returns its id when it was served. */
    private String send(String program, String parent, Random random, Client[] kept) {
        String id = prefix + "t%06d".formatted(ids.incrementAndGet());
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Tamarackfold-Request-Id", id);
        headers.put("X-Tamarackfold-Deadline-Ms", "3000");
        headers.put("X-Tamarackfold-Program-Id", program);
        headers.put("X-Tamarackfold-Session-Id", program);
        headers.put("X-Tamarackfold-Program-Deadline-Ms", "30000");
        headers.put("X-Tamarackfold-Token-Budget", "100000");
        headers.put("X-Tamarackfold-Token-Usage", "3590,136");
        if (parent != null) {
            headers.put("X-Tamarackfold-Parent-Turn", parent);
        }
        byte[] input = ("input of " + id + " ").repeat(shape.inputBytes() / 10).getBytes();
        double at = records.seconds();
        boolean isKept = kept[0] != null && !kept[0].isClosed();
        int status = 0;
        boolean whole = false;
        try {
            if (!isKept) {
                kept[0] = new Client(entries.get(random.nextInt(entries.size())).callers);
            }
            records.add("sent " + id + " program " + program + " parent " + parent + (isKept ? " kept connection" : ""));
            byte[] body = Arrays.copyOf(input, shape.inputBytes());
            Client.Answer answer = kept[0].send("POST", shape.path(), "x.example", headers, body, 4_000);
            status = answer.status();
            whole = answer.whole();
            if (!whole) {
                kept[0].close();
            }
        } catch (IOException e) {
            kept[0] = null;
        }
        records.add("answer " + id + " status " + status + (whole ? " whole" : " not whole"));
        Sent request = new Sent(id, at, status, whole);
        sent.add(request);
        return request.served() ? id : null;
    }

    /** Share of the requests sent between two times that were served; -1 when there are none. */
    double servedShare(double from, double until) {
        long all = sent.stream().filter(s -> s.at() >= from && s.at() < until).count();
        long served = sent.stream().filter(s -> s.at() >= from && s.at() < until && s.served()).count();
        return all == 0 ? -1 : (double) served / all;
    }

    /** The answers to the requests sent between two times, by status. */
    Map<Integer, Long> statuses(double from, double until) {
        Map<Integer, Long> counts = new TreeMap<>();
        sent.stream().filter(s -> s.at() >= from && s.at() < until).forEach(s -> counts.merge(s.status(), 1L, Long::sum));
        return counts;
    }
}
