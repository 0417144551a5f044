package org.azurearch.api;

import java.nio.file.Path;
import java.util.List;
import org.azurearch.errors.ErrorCode;
import org.azurearch.errors.Problem;
import org.azurearch.errors.SourceLocation;
import org.azurearch.fold.Folds;
import org.azurearch.internal.config.MergedPrinter;
import org.azurearch.internal.fold.FirmContent;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.SiteId;
import org.jspecify.annotations.Nullable;

/** Renders the merged configuration of one firm at one site. */
public final class RenderCommand {
    private final DocumentSet mDocuments = new DocumentSet();
    private int mRuleSet = Folds.NEWEST_RULE_SET;
    private boolean mExplain;
    private @Nullable FirmId mFirm;
    private @Nullable SiteId mSite;

    /** Adds a file, or all YAML files below a folder. */
    public RenderCommand addFile(Path path) {
        mDocuments.add(path);
        return this;
    }

    /** Adds a document. */
    public RenderCommand addDocument(FirmDocument document) {
        mDocuments.add(document);
        return this;
    }

    /** Sets the firm; required only when the documents belong to several firms. */
    public RenderCommand setFirm(FirmId firm) {
        mFirm = firm;
        return this;
    }

    /** Sets the site; by default the configuration of sites without an overlay is rendered. */
    public RenderCommand setSite(SiteId site) {
        mSite = site;
        return this;
    }

    /** Sets whether each value is followed by a comment with the file and line that set it. */
    public RenderCommand setExplain(boolean explain) {
        mExplain = explain;
        return this;
    }

    /** Sets the rule set to validate against; by default the newest that this program supports. */
    public RenderCommand setRuleSet(int ruleSet) {
        mRuleSet = ruleSet;
        return this;
    }

    /** Merges and renders the documents. */
    public RenderResult call() {
        List<Problem> problems = mDocuments.problems(mRuleSet);
        if (!problems.isEmpty()) {
            return RenderResult.failed(RenderResult.Status.INVALID, problems);
        }
        List<FirmId> firms = mDocuments.firms();
        FirmId firm = mFirm != null ? mFirm : firms.size() == 1 ? firms.get(0) : null;
        if (firm == null || !firms.contains(firm)) {
            SourceLocation input = new SourceLocation("input", 0);
            String message = "the firm must be one of " + firms;
            return RenderResult.failed(
                    RenderResult.Status.NOT_FOUND,
                    List.of(new Problem(ErrorCode.NOT_FOUND, input, message)));
        }
        FirmContent content = mDocuments.content(firm);
        MergedPrinter text = new MergedPrinter(content.merged(mSite));
        String yaml = mExplain ? text.explained() : text.text();
        return new RenderResult(RenderResult.Status.RENDERED, yaml, text.values(), List.of());
    }
}
