package org.azurearch.api;

import java.nio.file.Path;
import java.util.List;
import org.azurearch.errors.ErrorCode;
import org.azurearch.errors.Problem;
import org.azurearch.errors.SourceLocation;
import org.azurearch.fold.Folds;
import org.azurearch.internal.config.MergedText;
import org.azurearch.internal.fold.FirmContent;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.SiteId;
import org.jspecify.annotations.Nullable;

/** Prints the merged configuration of one firm at one site. */
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

    /** Sets the firm; needed only when the documents are of several. */
    public RenderCommand setFirm(FirmId firm) {
        mFirm = firm;
        return this;
    }

    /** Sets the site; without one, what a site without an overlay gets is printed. */
    public RenderCommand setSite(SiteId site) {
        mSite = site;
        return this;
    }

    /** Sets whether the file and line behind each value are printed beside it. */
    public RenderCommand setExplain(boolean explain) {
        mExplain = explain;
        return this;
    }

    /** Sets the rule set to judge by; the newest one that this program knows by default. */
    public RenderCommand setRuleSet(int ruleSet) {
        mRuleSet = ruleSet;
        return this;
    }

    /** Merges and prints the documents. */
    public RenderResult call() {
        List<Problem> problems = mDocuments.problems(mRuleSet);
        if (!problems.isEmpty()) {
            return RenderResult.failed(RenderResult.Status.INVALID, problems);
        }
        List<FirmId> firms = mDocuments.firms();
        FirmId firm = mFirm != null ? mFirm : firms.size() == 1 ? firms.get(0) : null;
        if (firm == null || !firms.contains(firm)) {
            SourceLocation input = new SourceLocation("input", 0);
            String message = "name one of the firms " + firms;
            return RenderResult.failed(
                    RenderResult.Status.NOT_FOUND,
                    List.of(new Problem(ErrorCode.NOT_FOUND, input, message)));
        }
        FirmContent content = mDocuments.content(firm);
        MergedText text = new MergedText(content.merged(mSite));
        String yaml = mExplain ? text.explained() : text.text();
        return new RenderResult(RenderResult.Status.RENDERED, yaml, text.values(), List.of());
    }
}
