package org.azurearch.admin;

/**
 * Asks to raise the rule set by which the mesh judges changes.
 *
 * @param id the change id that the operator chose
 * @param ruleSet the rule set, one above the one in force
 * @param note why
 */
public record RaiseRequest(String id, int ruleSet, String note) {}
