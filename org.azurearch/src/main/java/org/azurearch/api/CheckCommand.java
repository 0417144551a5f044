package org.azurearch.api;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.azurearch.errors.ErrorCode;
import org.azurearch.errors.Problem;
import org.azurearch.errors.SourceLocation;
import org.azurearch.fold.Folds;

/** Validates bases and overlays by the rules of the mesh, without publishing them. */
public final class CheckCommand {
    private final DocumentSet mDocuments = new DocumentSet();
    private int mRuleSet = Folds.NEWEST_RULE_SET;

    /** Adds a file, or all YAML files below a folder. */
    public CheckCommand addFile(Path path) {
        mDocuments.add(path);
        return this;
    }

    /** Adds a document. */
    public CheckCommand addDocument(FirmDocument document) {
        mDocuments.add(document);
        return this;
    }

    /** Sets the rule set to validate against; by default the newest that this program supports. */
    public CheckCommand setRuleSet(int ruleSet) {
        mRuleSet = ruleSet;
        return this;
    }

    /** Checks the documents and returns every problem found. */
    public CheckResult call() {
        List<Problem> problems = new ArrayList<>(mDocuments.problems(mRuleSet));
        if (problems.isEmpty() && mDocuments.firms().isEmpty()) {
            SourceLocation input = new SourceLocation("input", 0);
            problems.add(new Problem(ErrorCode.INVALID, input, "no documents to check"));
        }
        CheckResult.Status status =
                problems.isEmpty() ? CheckResult.Status.VALID : CheckResult.Status.INVALID;
        return new CheckResult(status, problems);
    }
}
