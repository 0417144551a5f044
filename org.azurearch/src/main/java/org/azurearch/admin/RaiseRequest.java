package org.azurearch.admin;

/**
 * Request to raise the rule set that the mesh validates changes against.
 *
 * @param id the change id that the operator chose
 * @param ruleSet the rule set, one above the one in force
 * @param note the operator's note
 */
public record RaiseRequest(String id, int ruleSet, String note) {}
