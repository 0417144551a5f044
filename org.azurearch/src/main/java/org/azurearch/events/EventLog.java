package org.azurearch.events;

import org.tinylog.Logger;

/** Writes numbered events to the log as {@code AZ0123 NAME message}. */
public final class EventLog {
    private EventLog() {}

    /**
     * Writes an event.
     *
     * @param event the event
     * @param arguments the values for the placeholders of the message
     */
    public static void log(EventCode event, Object... arguments) {
        String message = label(event) + " " + event.message();
        switch (event.level()) {
            case DEBUG -> Logger.debug(message, arguments);
            case INFO -> Logger.info(message, arguments);
            case WARN -> Logger.warn(message, arguments);
            case ERROR -> Logger.error(message, arguments);
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
        switch (event.level()) {
            case DEBUG -> Logger.debug(cause, message, arguments);
            case INFO -> Logger.info(cause, message, arguments);
            case WARN -> Logger.warn(cause, message, arguments);
            case ERROR -> Logger.error(cause, message, arguments);
            default -> throw new IllegalArgumentException("level " + event.level());
        }
    }

    /** Returns the label of an event, such as {@code AZ0123 NAME}. */
    public static String label(EventCode event) {
        return String.format("AZ%04d %s", event.number(), event.name());
    }
}
