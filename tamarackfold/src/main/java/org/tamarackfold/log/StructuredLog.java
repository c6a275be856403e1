package org.tamarackfold.log;

import org.jboss.logging.Logger;

/** Writes the lines of one part, each with the fixed prefix of the part. */
public final class StructuredLog {
    private final Logger logger;
    private final String prefix;

    private StructuredLog(String prefix) {
        this.prefix = prefix;
        this.logger = Logger.getLogger("tamarackfold." + prefix);
    }

    /** Returns the log of a part. */
    public static StructuredLog of(String prefix) {
        return new StructuredLog(prefix);
    }

    /** Starts a line for an event. */
    public Line event(String name) {
        return new Line(name);
    }

    /** One line; it is written by {@link #info()} or {@link #warn()}. */
    public final class Line {
        private final StringBuilder text = new StringBuilder(160);

        private Line(String name) {
            text.append(prefix).append(": event=").append(name);
        }

        /** Adds a value; text with spaces is quoted. */
        public Line with(String key, Object value) {
            String rendered = String.valueOf(value);
            text.append(' ').append(key).append('=');
            if (rendered.indexOf(' ') >= 0 || rendered.indexOf('"') >= 0) {
                text.append('"').append(rendered.replace('"', '\'')).append('"');
            } else {
                text.append(rendered);
            }
            return this;
        }

        /** Writes the line as information. */
        public void info() {
            logger.info(text);
        }

        /** Writes the line as a warning. */
        public void warn() {
            logger.warn(text);
        }
    }
}
