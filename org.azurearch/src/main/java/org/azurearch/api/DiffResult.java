package org.azurearch.api;

import java.util.List;
import java.util.Optional;
import org.azurearch.errors.Problem;
import org.azurearch.errors.SourceLocation;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.SiteId;
import org.jspecify.annotations.Nullable;

/**
 * The result of {@link DiffCommand}.
 *
 * @param status whether anything would change
 * @param sites the differences by site; sites without differences are left out
 * @param problems the problems of the documents; empty unless invalid
 */
public record DiffResult(Status status, List<SiteDiff> sites, List<Problem> problems) {
    /** Whether anything would change. */
    public enum Status {
        /** Nothing would change at any site. */
        SAME,
        /** Something would change. */
        DIFFERENT,
        /** The documents are not valid. */
        INVALID
    }

    /** Takes copies of the lists. */
    public DiffResult {
        sites = List.copyOf(sites);
        problems = List.copyOf(problems);
    }

    /**
     * The differences at a site.
     *
     * @param firm the firm
     * @param site the site, or null for all sites without an overlay
     * @param entries the differences, in the order of the merged document
     */
    public record SiteDiff(FirmId firm, @Nullable SiteId site, List<EntryDiff> entries) {
        /** Takes a copy of the list. */
        public SiteDiff {
            entries = List.copyOf(entries);
        }

        /** Returns the site; empty for all sites without an overlay. */
        public Optional<SiteId> overlaySite() {
            return Optional.ofNullable(site);
        }
    }

    /**
     * A difference in an entry or in one of its values.
     *
     * @param kind the kind of difference
     * @param path the dotted path of the entry, or of the value when the entry is in both
     * @param before the value before; empty when added
     * @param after the value after; empty when removed
     * @param location where the value after is set, or where the removed one was set
     */
    public record EntryDiff(
            Kind kind, String path, String before, String after, SourceLocation location) {
        /** The kind of a difference. */
        public enum Kind {
            /** The entry or value is added. */
            ADDED,
            /** The entry or value is removed. */
            REMOVED,
            /** The value changes. */
            CHANGED
        }

        /** Returns the difference as one human-readable line. */
        public String text() {
            return switch (kind) {
                case ADDED -> "+ " + path + ": " + after + "  # " + location.name();
                case REMOVED -> "- " + path + ": " + before + "  # " + location.name();
                default -> "~ " + path + ": " + before + " -> " + after + "  # " + location.name();
            };
        }
    }
}
