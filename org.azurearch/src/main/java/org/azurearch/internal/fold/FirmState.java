package org.azurearch.internal.fold;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.azurearch.fold.ChangeOutcome;
import org.azurearch.fold.Document;
import org.azurearch.fold.DocumentName;
import org.azurearch.lib.ChangeId;
import org.azurearch.lib.Digest;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.VersionId;

/** The folded state of one firm; immutable. */
final class FirmState {
    private final VersionId mVersion;
    private final FirmContent mContent;
    private final List<RetainedVersion> mVersions;
    private final SortedMap<DocumentName, LastChange> mLastChanges;
    private final List<ChangeOutcome> mOutcomes;

    /**
     * Creates a state.
     *
     * @param version the current version
     * @param content the current documents
     * @param versions the retained versions, the newest first
     * @param lastChanges the last change of each document ever used
     * @param outcomes the retained decisions, the newest first
     */
    FirmState(
            VersionId version,
            FirmContent content,
            List<RetainedVersion> versions,
            Map<DocumentName, LastChange> lastChanges,
            List<ChangeOutcome> outcomes) {
        mVersion = version;
        mContent = content;
        mVersions = List.copyOf(versions);
        mLastChanges = Collections.unmodifiableSortedMap(new TreeMap<>(lastChanges));
        mOutcomes = List.copyOf(outcomes);
    }

    /** Returns the state of a firm without changes. */
    static FirmState empty(FirmId firm) {
        return new FirmState(
                new VersionId(firm, 0),
                new FirmContent(firm, Map.of()),
                List.of(),
                Map.of(),
                List.of());
    }

    /** Returns the current version; number 0 before the first. */
    VersionId version() {
        return mVersion;
    }

    /** Returns the current documents. */
    FirmContent content() {
        return mContent;
    }

    /** Returns the retained versions, the newest first. */
    List<RetainedVersion> versions() {
        return mVersions;
    }

    /** Returns the last change of each document ever used. */
    SortedMap<DocumentName, LastChange> lastChanges() {
        return mLastChanges;
    }

    /** Returns the retained decisions, the newest first. */
    List<ChangeOutcome> outcomes() {
        return mOutcomes;
    }

    /** Returns the retained decision on a change. */
    Optional<ChangeOutcome> outcome(ChangeId change) {
        return mOutcomes.stream().filter(outcome -> outcome.change().equals(change)).findFirst();
    }

    /** Returns a retained version. */
    Optional<RetainedVersion> retainedVersion(long number) {
        return mVersions.stream().filter(version -> version.number() == number).findFirst();
    }

    /** Returns the state with one more decision; drops the oldest above the limit. */
    FirmState withOutcome(ChangeOutcome outcome) {
        List<ChangeOutcome> outcomes = new ArrayList<>(mOutcomes.size() + 1);
        outcomes.add(outcome);
        outcomes.addAll(mOutcomes);
        if (outcomes.size() > FoldLimits.OUTCOMES) {
            outcomes.remove(outcomes.size() - 1);
        }
        return new FirmState(mVersion, mContent, mVersions, mLastChanges, outcomes);
    }

    /**
     * Returns the state with one more version.
     *
     * @param content the content of the version
     * @param changedDocuments the names of the documents that the change modifies
     * @param change the change
     */
    FirmState withVersion(
            FirmContent content, Set<DocumentName> changedDocuments, ChangeId change) {
        VersionId version = new VersionId(mVersion.firm(), mVersion.number() + 1);
        List<RetainedVersion> versions = new ArrayList<>();
        versions.add(new RetainedVersion(version.number(), content.documents()));
        versions.addAll(mVersions);
        Map<DocumentName, LastChange> lastChanges = new TreeMap<>(mLastChanges);
        changedDocuments.forEach(
                name -> lastChanges.put(name, new LastChange(version.number(), change)));
        return new FirmState(version, content, withinLimits(versions), lastChanges, mOutcomes);
    }

    /** Drops the oldest versions above the limits on number and size; always keeps the newest. */
    private static List<RetainedVersion> withinLimits(List<RetainedVersion> versions) {
        List<RetainedVersion> kept = new ArrayList<>();
        Set<Digest> texts = new HashSet<>();
        long bytes = 0;
        for (RetainedVersion version : versions) {
            for (Document document : version.documents().values()) {
                bytes += texts.add(document.digest()) ? document.text().length : 0;
            }
            boolean fits = bytes <= FoldLimits.RETAINED_BYTES && kept.size() < FoldLimits.VERSIONS;
            if (!fits && !kept.isEmpty()) {
                return kept;
            }
            kept.add(version);
        }
        return kept;
    }
}
