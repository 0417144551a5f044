package org.azurearch.events;

/**
 * What is fixed about an event.
 *
 * @param number the number, unique in the product
 * @param level the severity
 * @param message the message, with {@code {}} for each argument
 */
public record EventInfo(int number, EventCode.Level level, String message) {}
