package org.azurearch.events;

/**
 * The constant attributes of an event.
 *
 * @param number the number, unique across all events
 * @param level the severity
 * @param message the message template, with {@code {}} for each argument
 */
public record EventInfo(int number, EventCode.Level level, String message) {}
