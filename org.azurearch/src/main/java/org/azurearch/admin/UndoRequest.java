package org.azurearch.admin;

/**
 * Asks for the content of an earlier version as a new version.
 *
 * @param id the change id that the publisher chose
 * @param expectedVersion the version of the firm that the publisher saw
 * @param undoTo the number of the version whose content to bring back
 * @param note why
 */
public record UndoRequest(String id, long expectedVersion, long undoTo, String note) {}
