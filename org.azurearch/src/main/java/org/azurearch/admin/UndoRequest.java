package org.azurearch.admin;

/**
 * Request to restore the content of an earlier version as a new version.
 *
 * @param id the change id that the operator chose
 * @param expectedVersion the version of the firm that the undo is based on
 * @param undoTo the number of the version to restore
 * @param note the operator's note
 */
public record UndoRequest(String id, long expectedVersion, long undoTo, String note) {}
