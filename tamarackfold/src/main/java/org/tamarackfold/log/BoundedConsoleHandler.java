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
 * Asynchronous log handler that writes to a stream from its own thread. When the queue is full, it
 * drops and counts lines, so that a slow reader of the output never delays a call.
 */
public final class BoundedConsoleHandler extends Handler {
    /** Capacity of the queue, in lines; a busy host logs about as many per second. */
    private static final int QUEUE_CAPACITY = 2_000;

    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final LongAdder dropped = new LongAdder();
    private final PrintStream output;

    private BoundedConsoleHandler(PrintStream output) {
        this.output = output;
    }

    /**
     * Replaces all handlers of the root logger by a new one and starts its thread.
     *
     * @param output receives the lines; the handler flushes it but never closes it
     */
    public static BoundedConsoleHandler install(PrintStream output) {
        BoundedConsoleHandler handler = new BoundedConsoleHandler(output);
        Logger root = Logger.getLogger("");
        for (Handler existing : root.getHandlers()) {
            root.removeHandler(existing);
        }
        root.addHandler(handler);
        Thread writer = new Thread(handler::writeLines, "log-writer");
        writer.setDaemon(true);
        writer.start();
        return handler;
    }

    /** Returns the number of lines dropped so far; may be called from any thread. */
    public long droppedLines() {
        return dropped.sum();
    }

    @Override
    public void publish(LogRecord logRecord) {
        if (!logRecord.getLoggerName().startsWith("tamarackfold")
                && logRecord.getLevel().intValue() < java.util.logging.Level.WARNING.intValue()) {
            return;
        }
        StringBuilder line = new StringBuilder(200);
        line.append(Instant.ofEpochMilli(logRecord.getMillis())).append(' ');
        line.append(logRecord.getLevel().getName()).append(' ').append(logRecord.getMessage());
        if (logRecord.getThrown() != null) {
            line.append(" error=\"").append(logRecord.getThrown()).append('"');
            for (StackTraceElement frame : logRecord.getThrown().getStackTrace()) {
                line.append(" at ").append(frame);
            }
        }
        if (!queue.offer(line.append('\n').toString())) {
            dropped.increment();
        }
    }

    private void writeLines() {
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
        List<String> remaining = new ArrayList<>();
        queue.drainTo(remaining);
        output.print(String.join("", remaining));
        output.flush();
    }
}
