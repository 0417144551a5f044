package org.azurearch.admin;

/**
 * Answer to a change that has been appended to the log; it is not yet accepted or refused.
 *
 * @param change the id of the change
 * @param offset its offset in the log
 */
public record ChangeAppended(String change, long offset) {}
