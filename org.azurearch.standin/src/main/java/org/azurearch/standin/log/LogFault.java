package org.azurearch.standin.log;

import java.time.Duration;
import java.util.Locale;

/**
 * A fault of the log stand-in.
 *
 * @param mode the kind of fault
 * @param delay the delay of each answer under {@link Mode#SLOW}
 */
public record LogFault(Mode mode, Duration delay) {
    /** No fault. */
    public static final LogFault NONE = new LogFault(Mode.NONE, Duration.ZERO);

    /** Every request to a stream is answered with 503; nothing is appended. */
    public static final LogFault DOWN = new LogFault(Mode.DOWN, Duration.ZERO);

    /** Records are appended, but the connection is closed without an answer. */
    public static final LogFault LOSE_APPEND_ANSWERS =
            new LogFault(Mode.LOSE_APPEND_ANSWERS, Duration.ZERO);

    /** The kind of fault. */
    public enum Mode {
        /** No fault. */
        NONE,
        /** Every request to a stream is answered with 503. */
        DOWN,
        /** Every answer to a stream request is delayed. */
        SLOW,
        /** Records are appended, but the answers are lost. */
        LOSE_APPEND_ANSWERS;

        /** Returns the text form, such as {@code lose-append-answers}. */
        public String code() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }

        /**
         * Parses the text form.
         *
         * @throws IllegalArgumentException if the text names no mode
         */
        public static Mode fromString(String text) {
            return valueOf(text.toUpperCase(Locale.ROOT).replace('-', '_'));
        }
    }

    /** Returns a fault that delays every answer to a stream request. */
    public static LogFault slow(Duration delay) {
        return new LogFault(Mode.SLOW, delay);
    }
}
