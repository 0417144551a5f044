package org.azurearch.internal.fold;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;
import org.azurearch.config.SiteConfig;
import org.azurearch.errors.ErrorCode;
import org.azurearch.errors.InvalidInputException;
import org.azurearch.errors.Problem;
import org.azurearch.errors.SourceLocation;
import org.azurearch.fold.Document;
import org.azurearch.fold.DocumentName;
import org.azurearch.internal.config.DocumentMerge;
import org.azurearch.internal.config.ParsedDocument;
import org.azurearch.internal.yaml.SchemaValidator;
import org.azurearch.lib.Digest;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.SiteId;
import org.azurearch.lib.VersionId;
import org.azurearch.yaml.YamlMapping;
import org.jspecify.annotations.Nullable;

/** The documents of one version of a firm; immutable. */
public final class FirmContent {
    private static final SiteId SITE_WITHOUT_OVERLAY = SiteId.fromString("site-without-overlay");

    private final FirmId mFirm;
    private final SortedMap<DocumentName, Document> mDocuments;
    private final FirmCaches mCaches;

    private FirmContent(FirmId firm, Map<DocumentName, Document> documents, FirmCaches caches) {
        mFirm = firm;
        mDocuments = Collections.unmodifiableSortedMap(new TreeMap<>(documents));
        mCaches = caches;
    }

    /** Creates content with empty caches. */
    public FirmContent(FirmId firm, Map<DocumentName, Document> documents) {
        this(firm, documents, new FirmCaches(firm));
    }

    /** Returns content with other documents that shares the caches of this one. */
    public FirmContent withDocuments(Map<DocumentName, Document> documents) {
        return new FirmContent(mFirm, documents, mCaches);
    }

    /** Returns the documents, sorted by name. */
    public SortedMap<DocumentName, Document> documents() {
        return mDocuments;
    }

    /** Returns the digest of the firm's name and of the names and texts of the documents. */
    public Digest digest() {
        List<byte[]> parts = new ArrayList<>();
        parts.add(mFirm.name().getBytes(StandardCharsets.UTF_8));
        mDocuments.forEach(
                (name, document) -> {
                    parts.add(name.name().getBytes(StandardCharsets.UTF_8));
                    parts.add(document.digest().bytes());
                });
        return Digest.of(parts.toArray(byte[][]::new));
    }

    /**
     * Validates the content at every site: the base alone, and merged with each overlay.
     *
     * @return the problems, sorted; empty when all sites are valid
     */
    public List<Problem> problems(int ruleSet) {
        List<Problem> problems = new ArrayList<>();
        mDocuments.values().forEach(document -> checkDocument(document, problems));
        if (!problems.isEmpty() || mDocuments.isEmpty()) {
            return SchemaValidator.sorted(problems);
        }
        if (!mDocuments.containsKey(DocumentName.BASE)) {
            Document overlay = mDocuments.get(mDocuments.firstKey());
            String file = overlay == null ? mFirm.name() : overlay.file();
            String message = "firm '" + mFirm + "' has no base that the overlay could apply to";
            return List.of(
                    new Problem(ErrorCode.BAD_OVERLAY, new SourceLocation(file, 0), message));
        }
        problems.addAll(mCaches.problems(base(), null, SITE_WITHOUT_OVERLAY, ruleSet));
        if (problems.isEmpty()) {
            sites().forEach(site -> checkSite(site, ruleSet, problems));
        }
        return SchemaValidator.sorted(problems);
    }

    /**
     * Returns the configuration of a site. The content must be valid.
     *
     * @param version the version of the configuration
     */
    public SiteConfig configAt(SiteId site, VersionId version, int ruleSet) {
        SiteConfig config = mCaches.compiled(base(), overlay(site), site, ruleSet);
        return new SiteConfig(
                version,
                site,
                config.digest(),
                config.services(),
                config.classes(),
                config.policies(),
                config.routes(),
                config.limits());
    }

    /**
     * Returns the merged document of a site with its defaults. The content must be valid.
     *
     * @param site the site, or null for one without an overlay
     */
    public YamlMapping merged(@Nullable SiteId site) {
        Document overlay = site == null ? null : overlay(site);
        ParsedDocument parsedOverlay = overlay == null ? null : mCaches.parsed(overlay);
        return DocumentMerge.merge(mCaches.baseLayer(base()), parsedOverlay, new ArrayList<>());
    }

    /** Returns the sites that have an overlay, sorted. */
    public List<SiteId> sites() {
        return mDocuments.keySet().stream().flatMap(name -> name.overlaySite().stream()).toList();
    }

    private void checkDocument(Document document, List<Problem> problems) {
        ParsedDocument parsed;
        try {
            parsed = mCaches.parsed(document);
        } catch (InvalidInputException e) {
            problems.addAll(e.problems());
            return;
        }
        SourceLocation location = new SourceLocation(document.file(), 1);
        if (!parsed.firm().equals(mFirm)) {
            String message = "the document is of firm '" + parsed.firm() + "', not '" + mFirm + "'";
            problems.add(new Problem(ErrorCode.BAD_OVERLAY, location, message));
        }
        if (!Objects.equals(parsed.site(), document.name().site())) {
            String message = "the document is not " + document.name();
            problems.add(new Problem(ErrorCode.BAD_OVERLAY, location, message));
        }
    }

    private void checkSite(SiteId site, int ruleSet, List<Problem> problems) {
        for (Problem problem : mCaches.problems(base(), overlay(site), site, ruleSet)) {
            String message = problem.message() + " (at site " + site + ")";
            problems.add(new Problem(problem.code(), problem.location(), message));
        }
    }

    private @Nullable Document overlay(SiteId site) {
        return mDocuments.get(DocumentName.overlay(site));
    }

    private Document base() {
        Document base = mDocuments.get(DocumentName.BASE);
        if (base == null) {
            throw new IllegalStateException("firm " + mFirm + " has no base");
        }
        return base;
    }
}
