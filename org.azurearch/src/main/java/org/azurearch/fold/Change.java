package org.azurearch.fold;

import java.util.List;
import org.azurearch.lib.ChangeId;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.OperatorId;
import org.azurearch.lib.SiteId;

/**
 * A change as an operator publishes it; one record of the change stream.
 *
 * @param id chosen by the publisher; a record with an id seen before has no further effect
 * @param kind what the change does
 * @param firm the firm that it belongs to
 * @param operator who published it
 * @param ruleSet the rule set by which it asks to be judged
 * @param expectedVersion the version of the firm that the publisher saw, 0 for none; the change
 *     conflicts when a later version has changed one of the documents that it touches
 * @param documents the documents that it sets; for {@code PUBLISH}
 * @param removedOverlays sites whose overlay it removes; for {@code PUBLISH}
 * @param undoTo the version whose content it brings back; for {@code UNDO}
 * @param note why, in the operator's words
 * @param createdAtMillis when the publisher made it, in milliseconds since the epoch
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
        /** Brings back the content of an earlier version as a new version. */
        UNDO,
        /** Raises the rule set by which later changes are judged. */
        RAISE_RULE_SET
    }

    /** Takes copies of the lists. */
    public Change {
        documents = List.copyOf(documents);
        removedOverlays = List.copyOf(removedOverlays);
    }
}
