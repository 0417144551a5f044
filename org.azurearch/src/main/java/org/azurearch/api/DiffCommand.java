package org.azurearch.api;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.azurearch.api.DiffResult.EntryDiff;
import org.azurearch.api.DiffResult.SiteDiff;
import org.azurearch.errors.Problem;
import org.azurearch.fold.Folds;
import org.azurearch.internal.config.MergedDiff;
import org.azurearch.internal.fold.FirmContent;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.SiteId;
import org.azurearch.yaml.YamlMapping;
import org.jspecify.annotations.Nullable;

/** Compares two sets of documents and lists what changes at each site. */
public final class DiffCommand {
    private final DocumentSet mBefore = new DocumentSet();
    private final DocumentSet mAfter = new DocumentSet();
    private int mRuleSet = Folds.NEWEST_RULE_SET;

    /** Adds a file, or all YAML files below a folder, to the documents before the change. */
    public DiffCommand addBefore(Path path) {
        mBefore.add(path);
        return this;
    }

    /** Adds a document to the documents before the change. */
    public DiffCommand addBefore(FirmDocument document) {
        mBefore.add(document);
        return this;
    }

    /** Adds a file, or all YAML files below a folder, to the documents after the change. */
    public DiffCommand addAfter(Path path) {
        mAfter.add(path);
        return this;
    }

    /** Adds a document to the documents after the change. */
    public DiffCommand addAfter(FirmDocument document) {
        mAfter.add(document);
        return this;
    }

    /** Sets the rule set to validate against; by default the newest that this program supports. */
    public DiffCommand setRuleSet(int ruleSet) {
        mRuleSet = ruleSet;
        return this;
    }

    /** Compares the documents. */
    public DiffResult call() {
        List<Problem> problems = new ArrayList<>(mBefore.problems(mRuleSet));
        problems.addAll(mAfter.problems(mRuleSet));
        if (!problems.isEmpty()) {
            return new DiffResult(DiffResult.Status.INVALID, List.of(), problems);
        }
        Set<FirmId> firms = new TreeSet<>(mBefore.firms());
        firms.addAll(mAfter.firms());
        List<SiteDiff> sites = new ArrayList<>();
        firms.forEach(firm -> compare(firm, sites));
        DiffResult.Status status =
                sites.isEmpty() ? DiffResult.Status.SAME : DiffResult.Status.DIFFERENT;
        return new DiffResult(status, sites, List.of());
    }

    private void compare(FirmId firm, List<SiteDiff> sites) {
        FirmContent before = mBefore.content(firm);
        FirmContent after = mAfter.content(firm);
        Set<SiteId> overlaySites = new TreeSet<>(before.sites());
        overlaySites.addAll(after.sites());
        compare(firm, null, before, after, sites);
        overlaySites.forEach(site -> compare(firm, site, before, after, sites));
    }

    private static void compare(
            FirmId firm,
            @Nullable SiteId site,
            FirmContent before,
            FirmContent after,
            List<SiteDiff> sites) {
        List<EntryDiff> entries = MergedDiff.of(merged(before, site), merged(after, site));
        if (!entries.isEmpty()) {
            sites.add(new SiteDiff(firm, site, entries));
        }
    }

    private static @Nullable YamlMapping merged(FirmContent content, @Nullable SiteId site) {
        return content.documents().isEmpty() ? null : content.merged(site);
    }
}
