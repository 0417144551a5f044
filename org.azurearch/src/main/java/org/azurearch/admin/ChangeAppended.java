package org.azurearch.admin;

/**
 * The log has taken a change; the decision follows.
 *
 * @param change the change
 * @param offset its offset
 */
public record ChangeAppended(String change, long offset) {}
