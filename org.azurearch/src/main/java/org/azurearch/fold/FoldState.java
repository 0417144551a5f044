package org.azurearch.fold;

import java.util.List;
import java.util.Optional;
import org.azurearch.config.MeshConfig;
import org.azurearch.lib.ChangeId;
import org.azurearch.lib.Digest;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.SiteId;
import org.azurearch.lib.VersionId;
import org.azurearch.log.LogRecord;

/** The state that results from folding the change stream up to an offset; immutable. */
public interface FoldState {
    /** Returns the offset of the last record folded; -1 before the first. */
    long offset();

    /** Returns the running digest. */
    Digest digest();

    /** Returns the rule set in force. */
    int ruleSet();

    /**
     * Folds one more record.
     *
     * @param record the record at {@link #offset()} + 1
     * @return the state after it
     * @throws org.azurearch.errors.AzurearchException with {@code CORRUPT} when the record has
     *     another offset, with {@code UNKNOWN_RULE_SET} when this release is too old to evaluate it
     */
    FoldState apply(LogRecord record);

    /** Returns how many malformed records have been skipped so far. */
    long skipped();

    /** Returns the configuration of all firms at a site. */
    MeshConfig configAt(SiteId site);

    /** Returns the decision on a change of a firm, or empty if it is not retained. */
    Optional<ChangeOutcome> outcome(FirmId firm, ChangeId change);

    /** Returns the retained decisions of a firm, the newest first. */
    List<ChangeOutcome> history(FirmId firm);

    /** Returns the firms that have submitted a change, sorted. */
    List<FirmId> firms();

    /** Returns the current version of a firm; number 0 before the first. */
    VersionId version(FirmId firm);

    /** Returns the current documents of a firm, sorted by name. */
    List<Document> documents(FirmId firm);

    /** Returns the documents of a version, or empty if it is not retained. */
    Optional<List<Document>> documents(VersionId version);
}
