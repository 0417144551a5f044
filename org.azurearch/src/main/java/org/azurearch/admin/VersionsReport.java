package org.azurearch.admin;

import java.util.List;

/**
 * The retained decisions on a firm's changes.
 *
 * @param firm the firm
 * @param current the number of the current version, 0 if there is none
 * @param offset the offset of the last record folded
 * @param digest the digest of the folded state
 * @param changes the decisions, the newest first
 */
public record VersionsReport(
        String firm, long current, long offset, String digest, List<ChangeReport.Outcome> changes) {
    /** Takes a copy of the list. */
    public VersionsReport {
        changes = List.copyOf(changes);
    }
}
