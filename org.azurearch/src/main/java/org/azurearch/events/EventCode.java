package org.azurearch.events;

/** A numbered event. Each subject has an enum that implements this interface. */
public interface EventCode {
    /** Severity of an event. */
    enum Level {
        /** Detail for tracing a fault. */
        DEBUG,
        /** Ordinary course of things. */
        INFO,
        /** Something that an operator should know. */
        WARN,
        /** Something that an operator should act on. */
        ERROR
    }

    /** Returns what is fixed about the event. */
    EventInfo info();

    /** Returns the number, unique in the product. */
    default int number() {
        return info().number();
    }

    /** Returns the severity. */
    default Level level() {
        return info().level();
    }

    /** Returns the message, with {@code {}} for each argument. */
    default String message() {
        return info().message();
    }

    /** Returns the constant's name. */
    String name();
}
