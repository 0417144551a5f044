package org.azurearch.events;

import org.tinylog.Logger;

/** Writes numbered events to the log as {@code AZ0123 NAME message}. */
public final class EventLog {
    private static final int MAX_TEXT_CHARS = 500;

    private EventLog() {}

    /**
     * Writes an event.
     *
     * @param event the event
     * @param arguments the values for the placeholders of the message
     */
    public static void log(EventCode event, Object... arguments) {
        String message = label(event) + " " + event.message();
        Object[] bounded = boundedAll(arguments);
        switch (event.level()) {
            case DEBUG -> Logger.debug(message, bounded);
            case INFO -> Logger.info(message, bounded);
            case WARN -> Logger.warn(message, bounded);
            case ERROR -> Logger.error(message, bounded);
            default -> throw new IllegalArgumentException("level " + event.level());
        }
    }

    /**
     * Writes an event with an exception.
     *
     * @param event the event
     * @param cause the exception whose stack trace is written
     * @param arguments the values for the placeholders of the message
     */
    public static void log(EventCode event, Throwable cause, Object... arguments) {
        String message = label(event) + " " + event.message();
        Object[] bounded = boundedAll(arguments);
        switch (event.level()) {
            case DEBUG -> Logger.debug(cause, message, bounded);
            case INFO -> Logger.info(cause, message, bounded);
            case WARN -> Logger.warn(cause, message, bounded);
            case ERROR -> Logger.error(cause, message, bounded);
            default -> throw new IllegalArgumentException("level " + event.level());
        }
    }

    /** Returns a text of others without control characters and cut to a length for one line. */
    static Object bounded(Object argument) {
        if (!(argument instanceof String text)) {
            return argument;
        }
        boolean cut = text.length() > MAX_TEXT_CHARS;
        StringBuilder line = new StringBuilder(cut ? text.substring(0, MAX_TEXT_CHARS) : text);
        for (int i = 0; i < line.length(); i++) {
            if (Character.isISOControl(line.charAt(i))) {
                line.setCharAt(i, '?');
            }
        }
        return cut ? line.append("...").toString() : line.toString();
    }

    private static Object[] boundedAll(Object[] arguments) {
        Object[] bounded = new Object[arguments.length];
        for (int i = 0; i < arguments.length; i++) {
            bounded[i] = bounded(arguments[i]);
        }
        return bounded;
    }

    /** Returns the label of an event, such as {@code AZ0123 NAME}. */
    public static String label(EventCode event) {
        return String.format("AZ%04d %s", event.number(), event.name());
    }
}
