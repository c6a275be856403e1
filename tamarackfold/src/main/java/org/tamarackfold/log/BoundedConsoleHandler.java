package org.tamarackfold.log;

import java.io.PrintStream;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.LongAdder;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Writes log lines to standard output from a thread of its own. A full queue drops lines and counts
 * them, so that a slow reader of the output never delays a call.
 */
public final class BoundedConsoleHandler extends Handler {
    /** Lines that wait to be written; about a second of a busy host. */
    private static final int QUEUE_LINES = 2_000;

    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_LINES);
    private final LongAdder dropped = new LongAdder();
    private final PrintStream output;

    private BoundedConsoleHandler(PrintStream output) {
        this.output = output;
    }

    /** Makes this the only handler of the process and starts its thread. */
    public static BoundedConsoleHandler install(PrintStream output) {
        BoundedConsoleHandler handler = new BoundedConsoleHandler(output);
        Logger root = Logger.getLogger("");
        for (Handler present : root.getHandlers()) {
            root.removeHandler(present);
        }
        root.addHandler(handler);
        Thread writer = new Thread(handler::drain, "log-writer");
        writer.setDaemon(true);
        writer.start();
        return handler;
    }

    /** Returns the number of lines dropped so far. */
    public long droppedLines() {
        return dropped.sum();
    }

    @Override
    public void publish(LogRecord entry) {
        if (!entry.getLoggerName().startsWith("tamarackfold")
                && entry.getLevel().intValue() < java.util.logging.Level.WARNING.intValue()) {
            return;
        }
        StringBuilder line = new StringBuilder(200);
        line.append(Instant.ofEpochMilli(entry.getMillis())).append(' ');
        line.append(entry.getLevel().getName()).append(' ').append(entry.getMessage());
        if (entry.getThrown() != null) {
            line.append(" error=\"").append(entry.getThrown()).append('"');
            for (StackTraceElement frame : entry.getThrown().getStackTrace()) {
                line.append(" at ").append(frame);
            }
        }
        if (!queue.offer(line.append('\n').toString())) {
            dropped.increment();
        }
    }

    private void drain() {
        List<String> batch = new ArrayList<>();
        try {
            while (true) {
                batch.add(queue.take());
                queue.drainTo(batch);
                output.print(String.join("", batch));
                output.flush();
                batch.clear();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void flush() {
        output.flush();
    }

    @Override
    public void close() {
        List<String> rest = new ArrayList<>();
        queue.drainTo(rest);
        output.print(String.join("", rest));
        output.flush();
    }
}
