package org.azurearch.api;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.azurearch.errors.ErrorCode;
import org.azurearch.errors.InvalidInputException;
import org.azurearch.errors.Problem;
import org.azurearch.errors.SourceLocation;
import org.azurearch.fold.Document;
import org.azurearch.fold.DocumentName;
import org.azurearch.internal.fold.FirmContent;
import org.azurearch.internal.yaml.SchemaValidator;
import org.azurearch.lib.FirmId;

/** Collects documents from files and memory, and validates them by firm. */
final class DocumentSet {
    private final List<Problem> mProblems = new ArrayList<>();
    private final Map<FirmId, Map<DocumentName, Document>> mFirms = new TreeMap<>();
    private final Map<FirmId, FirmContent> mContents = new TreeMap<>();

    /** Adds a file, or all YAML files below a folder. */
    void add(Path path) {
        try {
            FirmDocument.files(path).forEach(this::addFile);
        } catch (InvalidInputException e) {
            mProblems.addAll(e.problems());
        }
    }

    /** Adds a document. */
    void add(FirmDocument added) {
        mContents.clear();
        Document document = added.document();
        Map<DocumentName, Document> documents =
                mFirms.computeIfAbsent(added.firm(), firm -> new TreeMap<>());
        Document existing = documents.putIfAbsent(document.name(), document);
        if (existing != null) {
            String message =
                    document.name()
                            + " of firm '"
                            + added.firm()
                            + "' is also in "
                            + existing.file();
            SourceLocation location = new SourceLocation(document.file(), 1);
            mProblems.add(new Problem(ErrorCode.INVALID, location, message));
        }
    }

    /** Returns the firms, sorted. */
    List<FirmId> firms() {
        return List.copyOf(mFirms.keySet());
    }

    /** Returns the documents of a firm; empty content when it has none. */
    FirmContent content(FirmId firm) {
        return mContents.computeIfAbsent(
                firm, key -> new FirmContent(key, mFirms.getOrDefault(key, Map.of())));
    }

    /** Returns the problems of all firms at all sites, sorted. */
    List<Problem> problems(int ruleSet) {
        List<Problem> problems = new ArrayList<>(mProblems);
        if (problems.isEmpty()) {
            firms().forEach(firm -> problems.addAll(content(firm).problems(ruleSet)));
        }
        return SchemaValidator.sorted(problems);
    }

    private void addFile(Path file) {
        try {
            add(FirmDocument.read(file));
        } catch (InvalidInputException e) {
            mProblems.addAll(e.problems());
        }
    }
}
