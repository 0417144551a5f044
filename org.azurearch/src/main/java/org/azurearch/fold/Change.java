package org.azurearch.fold;

import java.util.List;
import org.azurearch.lib.ChangeId;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.OperatorId;
import org.azurearch.lib.SiteId;

/**
 * A change published by an operator; one record of the change stream.
 *
 * @param id chosen by the publisher; a later record with the same id has no effect while the
 *     decision on the first is retained
 * @param kind what the change does
 * @param firm the firm whose configuration it changes
 * @param operator the operator who published it
 * @param ruleSet the oldest rule set that the change may be validated by; for {@code
 *     RAISE_RULE_SET}, the new one
 * @param expectedVersion the version of the firm that the change is based on, 0 for none; the
 *     change conflicts if a later version changed one of the same documents
 * @param documents the documents that it sets; for {@code PUBLISH}
 * @param removedOverlays sites whose overlay it removes; for {@code PUBLISH}
 * @param undoTo the version whose content it restores; for {@code UNDO}
 * @param note the operator's reason for the change
 * @param createdAtMillis when the publisher created it, in milliseconds since the epoch
 */
public record Change(
        ChangeId id,
        Kind kind,
        FirmId firm,
        OperatorId operator,
        int ruleSet,
        long expectedVersion,
        List<Document> documents,
        List<SiteId> removedOverlays,
        long undoTo,
        String note,
        long createdAtMillis) {
    /** What a change does. */
    public enum Kind {
        /** Sets and removes documents. */
        PUBLISH,
        /** Restores the content of an earlier version as a new version. */
        UNDO,
        /** Raises the rule set by which later changes are validated. */
        RAISE_RULE_SET
    }

    /** Takes copies of the lists. */
    public Change {
        documents = List.copyOf(documents);
        removedOverlays = List.copyOf(removedOverlays);
    }
}
