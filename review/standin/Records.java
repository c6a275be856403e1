import java.io.*;
import java.nio.file.*;
import java.util.Locale;

/** Writes what was sent, answered and run, with the time since the start of the script. */
final class Records implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Records(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    /** Sleeps until a time since the start of the script. */
    void sleepUntil(double seconds) throws InterruptedException {
        Thread.sleep(Math.max(0, (long) ((seconds - seconds()) * 1_000)));
    }

    synchronized void add(String line) {
        out.printf(Locale.ROOT, "%8.3f %s%n", seconds(), line);
    }

    synchronized void say(String line) {
        add(line);
        System.out.println(line);
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
