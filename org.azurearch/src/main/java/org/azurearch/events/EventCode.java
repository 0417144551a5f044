package org.azurearch.events;

/** A numbered log event. Each subsystem has an enum that implements this interface. */
public interface EventCode {
    /** Severity of an event. */
    enum Level {
        /** Details for diagnosing a fault. */
        DEBUG,
        /** Normal operation. */
        INFO,
        /** A condition that an operator should know about. */
        WARN,
        /** A condition that needs action by an operator. */
        ERROR
    }

    /** Returns the constant attributes of the event. */
    EventInfo info();

    /** Returns the number, unique across all events. */
    default int number() {
        return info().number();
    }

    /** Returns the severity. */
    default Level level() {
        return info().level();
    }

    /** Returns the message template, with {@code {}} for each argument. */
    default String message() {
        return info().message();
    }

    /** Returns the name of the enum constant. */
    String name();
}
