package org.azurearch.internal.fold;

import java.util.List;
import org.azurearch.config.SiteConfig;
import org.azurearch.errors.Problem;
import org.azurearch.fold.Document;
import org.azurearch.fold.DocumentName;
import org.azurearch.internal.config.BaseLayer;
import org.azurearch.internal.config.ParsedDocument;
import org.azurearch.internal.config.SiteCompiler;
import org.azurearch.lib.Digest;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.SiteId;
import org.azurearch.lib.VersionId;
import org.jspecify.annotations.Nullable;

/**
 * Caches the parsed documents, problems and compiled sites of a firm. All states of the firm share
 * them, so that only modified documents are processed again, and a retained old state holds only
 * its texts.
 */
final class FirmCaches {
    private static final int MAX_BASES = 2;
    private static final int MAX_OVERLAYS = 2 * FoldLimits.DOCUMENTS;
    private static final int MAX_PROBLEM_LISTS = 4 * FoldLimits.DOCUMENTS;
    private static final int MAX_SITES = 4;

    private final FirmId mFirm;
    private final LruCache<TextKey, BaseLayer> mBases = new LruCache<>(MAX_BASES);
    private final LruCache<TextKey, ParsedDocument> mOverlays = new LruCache<>(MAX_OVERLAYS);
    private final LruCache<SiteKey, List<Problem>> mProblems = new LruCache<>(MAX_PROBLEM_LISTS);
    private final LruCache<SiteKey, SiteConfig> mSites = new LruCache<>(MAX_SITES);

    /** Identifies a text and its file name, which is part of the parsed locations. */
    private record TextKey(DocumentName name, String file, Digest digest) {
        static TextKey of(Document document) {
            return new TextKey(document.name(), document.file(), document.digest());
        }
    }

    /** Identifies the input for validating and compiling a site. */
    private record SiteKey(TextKey base, @Nullable TextKey overlay, SiteId site, int ruleSet) {
        static SiteKey of(Document base, @Nullable Document overlay, SiteId site, int ruleSet) {
            TextKey overlayKey = overlay == null ? null : TextKey.of(overlay);
            return new SiteKey(TextKey.of(base), overlayKey, site, ruleSet);
        }
    }

    /** Creates empty caches. */
    FirmCaches(FirmId firm) {
        mFirm = firm;
    }

    /**
     * Returns the parsed form of a document.
     *
     * @throws org.azurearch.errors.InvalidInputException with every problem found
     */
    ParsedDocument parsed(Document document) {
        return document.name().equals(DocumentName.BASE)
                ? baseLayer(document).document()
                : parsedOverlay(document);
    }

    /** Returns a base with its defaults. */
    BaseLayer baseLayer(Document base) {
        return mBases.get(
                TextKey.of(base),
                () -> new BaseLayer(ParsedDocument.parse(base.file(), base.text())));
    }

    /** Returns the problems of a site; the documents must be well-formed. */
    List<Problem> problems(Document base, @Nullable Document overlay, SiteId site, int ruleSet) {
        return mProblems.get(
                SiteKey.of(base, overlay, site, ruleSet),
                () -> {
                    ParsedDocument parsedOverlay = overlay == null ? null : parsedOverlay(overlay);
                    return SiteCompiler.problems(
                            mFirm, site, baseLayer(base), parsedOverlay, ruleSet);
                });
    }

    /** Returns the configuration of a valid site; its version is 0 for the caller to replace. */
    SiteConfig compiled(Document base, @Nullable Document overlay, SiteId site, int ruleSet) {
        return mSites.get(
                SiteKey.of(base, overlay, site, ruleSet),
                () -> {
                    ParsedDocument parsedOverlay = overlay == null ? null : parsedOverlay(overlay);
                    VersionId none = new VersionId(mFirm, 0);
                    return SiteCompiler.compile(
                            none, site, baseLayer(base), parsedOverlay, ruleSet);
                });
    }

    private ParsedDocument parsedOverlay(Document overlay) {
        return mOverlays.get(
                TextKey.of(overlay), () -> ParsedDocument.parse(overlay.file(), overlay.text()));
    }
}
