package org.azurearch.internal.fold;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.errors.Problem;
import org.azurearch.errors.SourceLocation;
import org.azurearch.fold.Change;
import org.azurearch.fold.ChangeOutcome;
import org.azurearch.fold.Document;
import org.azurearch.fold.DocumentName;
import org.azurearch.internal.config.RuleSets;
import org.azurearch.lib.ChangeId;
import org.azurearch.lib.SiteId;
import org.jspecify.annotations.Nullable;

/** Evaluates a change. The decision depends only on the state before it and on the change. */
final class ChangeEvaluator {
    private final Map<?, FirmState> mFirms;
    private final FirmState mFirm;
    private final Change mChange;
    private final int mRuleSet;
    private final SourceLocation mSource;

    /**
     * Creates an evaluator of one change.
     *
     * @param firms the states of all firms
     * @param firm the state of the firm of the change
     * @param change the change
     * @param ruleSet the rule set in force
     */
    ChangeEvaluator(Map<?, FirmState> firms, FirmState firm, Change change, int ruleSet) {
        mFirms = firms;
        mFirm = firm;
        mChange = change;
        mRuleSet = ruleSet;
        mSource = new SourceLocation("change " + change.id(), 0);
    }

    /**
     * Decides whether the change is accepted.
     *
     * @throws AzurearchException with {@link ErrorCode#UNKNOWN_RULE_SET} when it raises the mesh to
     *     a rule set that this release does not support
     */
    Decision evaluate() {
        if (mChange.kind() == Change.Kind.RAISE_RULE_SET) {
            return raiseRuleSet();
        }
        if (mChange.ruleSet() > mRuleSet) {
            return Decision.refused(ChangeOutcome.Status.REFUSED_RULE_SET);
        }
        if (mChange.expectedVersion() > mFirm.version().number()) {
            return Decision.refused(ChangeOutcome.Status.REFUSED_UNKNOWN_VERSION);
        }
        return mChange.kind() == Change.Kind.UNDO ? undo() : publish();
    }

    private Decision raiseRuleSet() {
        if (mChange.ruleSet() != mRuleSet + 1) {
            return Decision.refused(ChangeOutcome.Status.REFUSED_RULE_SET);
        }
        if (mChange.ruleSet() > RuleSets.NEWEST) {
            throw new AzurearchException(
                    ErrorCode.UNKNOWN_RULE_SET,
                    "change "
                            + mChange.id()
                            + " raises the mesh to rule set "
                            + mChange.ruleSet()
                            + "; this release supports rule sets up to "
                            + RuleSets.NEWEST);
        }
        List<Problem> problems = new ArrayList<>();
        for (FirmState firm : mFirms.values()) {
            problems.addAll(firm.content().problems(mChange.ruleSet()));
        }
        return problems.isEmpty() ? Decision.raised(mChange.ruleSet()) : Decision.invalid(problems);
    }

    private Decision undo() {
        Optional<RetainedVersion> retained = mFirm.retainedVersion(mChange.undoTo());
        if (retained.isEmpty()) {
            return Decision.refused(ChangeOutcome.Status.REFUSED_UNKNOWN_VERSION);
        }
        Map<DocumentName, Document> target = retained.get().documents();
        Map<DocumentName, Document> current = mFirm.content().documents();
        Set<DocumentName> changedDocuments = new TreeSet<>(current.keySet());
        changedDocuments.addAll(target.keySet());
        changedDocuments.removeIf(name -> sameText(target.get(name), current.get(name)));
        return decideContent(target, changedDocuments);
    }

    private Decision publish() {
        List<Problem> problems = new ArrayList<>();
        Map<DocumentName, Document> target = new HashMap<>(mFirm.content().documents());
        Set<DocumentName> changedDocuments = new HashSet<>();
        for (SiteId site : mChange.removedOverlays()) {
            DocumentName name = DocumentName.overlay(site);
            addChangedDocument(name, changedDocuments, problems);
            boolean absent = target.remove(name) == null;
            if (absent && conflictingChange(name).isEmpty()) {
                String message = "removes " + name + ", which is absent";
                problems.add(problem(ErrorCode.BAD_OVERLAY, message));
            }
        }
        for (Document document : mChange.documents()) {
            addChangedDocument(document.name(), changedDocuments, problems);
            target.put(document.name(), document);
        }
        if (changedDocuments.isEmpty()) {
            problems.add(problem(ErrorCode.INVALID, "the change touches no document"));
        }
        return problems.isEmpty()
                ? decideContent(target, changedDocuments)
                : Decision.invalid(problems);
    }

    private void addChangedDocument(
            DocumentName name, Set<DocumentName> changedDocuments, List<Problem> problems) {
        if (!changedDocuments.add(name)) {
            problems.add(problem(ErrorCode.INVALID, "names " + name + " twice"));
        }
    }

    private Decision decideContent(
            Map<DocumentName, Document> target, Set<DocumentName> changedDocuments) {
        for (DocumentName name : new TreeSet<>(changedDocuments)) {
            Optional<ChangeId> winner = conflictingChange(name);
            if (winner.isPresent()) {
                return Decision.conflict(winner.get());
            }
        }
        List<Problem> problems = new ArrayList<>(sizeProblems(target.values(), changedDocuments));
        FirmContent content = mFirm.content().withDocuments(target);
        if (problems.isEmpty()) {
            problems.addAll(content.problems(mRuleSet));
        }
        return problems.isEmpty()
                ? Decision.accepted(content, changedDocuments)
                : Decision.invalid(problems);
    }

    /** Returns the last change of a document if it is later than the expected version. */
    private Optional<ChangeId> conflictingChange(DocumentName name) {
        return Optional.ofNullable(mFirm.lastChanges().get(name))
                .filter(lastChange -> lastChange.version() > mChange.expectedVersion())
                .map(LastChange::change);
    }

    private List<Problem> sizeProblems(
            Collection<Document> target, Set<DocumentName> changedDocuments) {
        List<Problem> problems = new ArrayList<>();
        Set<DocumentName> names = new HashSet<>(mFirm.lastChanges().keySet());
        names.addAll(changedDocuments);
        checkLimit(names.size(), FoldLimits.DOCUMENT_NAMES, "document names ever used", problems);
        checkLimit(target.size(), FoldLimits.DOCUMENTS, "documents", problems);
        long bytes = target.stream().mapToLong(document -> document.text().length).sum();
        checkLimit(bytes, FoldLimits.CURRENT_BYTES, "bytes in all documents", problems);
        checkLimit(
                mChange.note().length(), FoldLimits.NOTE_CHARS, "characters in the note", problems);
        for (Document document : mChange.documents()) {
            int chars = document.file().length();
            checkLimit(chars, FoldLimits.FILE_CHARS, "characters in a file name", problems);
        }
        return problems;
    }

    private void checkLimit(long size, long limit, String unit, List<Problem> problems) {
        if (size > limit) {
            String message = size + " " + unit + " are more than the limit of " + limit;
            problems.add(problem(ErrorCode.TOO_LARGE, message));
        }
    }

    private Problem problem(ErrorCode code, String message) {
        return new Problem(code, mSource, message);
    }

    private static boolean sameText(@Nullable Document left, @Nullable Document right) {
        return left != null && right != null && left.digest().equals(right.digest());
    }
}
