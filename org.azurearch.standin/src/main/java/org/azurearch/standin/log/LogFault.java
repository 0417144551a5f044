package org.azurearch.standin.log;

import java.time.Duration;
import java.util.Locale;

/**
 * A fault of the log stand-in.
 *
 * @param mode what goes wrong
 * @param delay how long an answer is held back under {@link Mode#SLOW}
 */
public record LogFault(Mode mode, Duration delay) {
    /** No fault. */
    public static final LogFault NONE = new LogFault(Mode.NONE, Duration.ZERO);

    /** The log answers every call with 503 and takes nothing. */
    public static final LogFault DOWN = new LogFault(Mode.DOWN, Duration.ZERO);

    /** Appends take effect and the connection closes without an answer. */
    public static final LogFault LOSE_APPEND_ANSWERS =
            new LogFault(Mode.LOSE_APPEND_ANSWERS, Duration.ZERO);

    /** What goes wrong. */
    public enum Mode {
        /** Nothing. */
        NONE,
        /** Every call fails. */
        DOWN,
        /** Every answer is late. */
        SLOW,
        /** Appends take effect and their answers are lost. */
        LOSE_APPEND_ANSWERS;

        /** Returns the text form, such as {@code lose-append-answers}. */
        public String code() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }

        /**
         * Parses the text form.
         *
         * @throws IllegalArgumentException when there is no such mode
         */
        public static Mode fromString(String text) {
            return valueOf(text.toUpperCase(Locale.ROOT).replace('-', '_'));
        }
    }

    /** Returns a fault that holds every answer back. */
    public static LogFault slow(Duration delay) {
        return new LogFault(Mode.SLOW, delay);
    }
}
