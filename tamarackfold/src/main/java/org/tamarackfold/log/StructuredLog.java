package org.tamarackfold.log;

import org.jboss.logging.Logger;

/** Logger of one component; every line begins with the name of the component. Thread-safe. */
public final class StructuredLog {
    /** Longer values are cut, because they may come from other programs, in messages of errors. */
    private static final int MAXIMUM_VALUE_CHARACTERS = 500;

    private final Logger logger;
    private final String component;

    private StructuredLog(String component) {
        this.component = component;
        this.logger = Logger.getLogger("tamarackfold." + component);
    }

    /** Returns the logger of a component, in the category {@code tamarackfold.<component>}. */
    public static StructuredLog of(String component) {
        return new StructuredLog(component);
    }

    /**
     * Starts a line for an event; nothing is logged before {@link Line#info} or {@link Line#warn}.
     */
    public Line event(String name) {
        return new Line(name);
    }

    /** A log line under construction; used by one thread. */
    public final class Line {
        private final StringBuilder text = new StringBuilder(160);

        private Line(String name) {
            text.append(component).append(": event=").append(name);
        }

        /**
         * Adds a key-value pair. A value with spaces or double quotes is put in double quotes, and
         * its own double quotes become single ones. Control characters become spaces, so that a
         * line stays one line; the end of a long value is replaced by its length.
         */
        public Line with(String key, Object value) {
            String valueText = printable(String.valueOf(value));
            text.append(' ').append(key).append('=');
            if (valueText.indexOf(' ') >= 0 || valueText.indexOf('"') >= 0) {
                text.append('"').append(valueText.replace('"', '\'')).append('"');
            } else {
                text.append(valueText);
            }
            return this;
        }

        private static String printable(String value) {
            String text =
                    value.length() <= MAXIMUM_VALUE_CHARACTERS
                            ? value
                            : value.substring(0, MAXIMUM_VALUE_CHARACTERS)
                                    + "... ("
                                    + value.length()
                                    + " characters)";
            StringBuilder printable = new StringBuilder(text);
            for (int i = 0; i < printable.length(); i++) {
                if (Character.isISOControl(printable.charAt(i))) {
                    printable.setCharAt(i, ' ');
                }
            }
            return printable.toString();
        }

        /** Logs the line at level INFO. */
        public void info() {
            logger.info(text);
        }

        /** Logs the line at level WARN. */
        public void warn() {
            logger.warn(text);
        }
    }
}
