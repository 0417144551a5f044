package org.azurearch.sidecar.store;

/**
 * A record of the keyed log.
 *
 * @param key the key
 * @param value the value; empty if the key was removed
 * @param offset the offset in its stream
 */
public record KeyedRecord(String key, byte[] value, long offset) {}
