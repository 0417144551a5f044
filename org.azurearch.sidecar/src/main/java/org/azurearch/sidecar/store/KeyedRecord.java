package org.azurearch.sidecar.store;

/**
 * A record.
 *
 * @param key the key
 * @param value the value; empty when the key has been dropped
 * @param offset where it stands in the stream
 */
public record KeyedRecord(String key, byte[] value, long offset) {}
