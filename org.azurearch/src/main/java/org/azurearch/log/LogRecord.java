package org.azurearch.log;

/**
 * A record of a stream.
 *
 * @param offset the offset, from 0
 * @param appendedAtMillis when the platform appended it, in milliseconds since the epoch by the
 *     platform's clock
 * @param data the content; must not be changed
 */
public record LogRecord(long offset, long appendedAtMillis, byte[] data) {}
