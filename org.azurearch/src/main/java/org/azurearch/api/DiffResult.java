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
 * @param sites what would change at each site; sites where nothing would are left out
 * @param problems what is wrong; empty unless invalid
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
     * What would change at a site.
     *
     * @param firm the firm
     * @param site the site, or null for those without an overlay
     * @param entries the changes, in the order of the merged document
     */
    public record SiteDiff(FirmId firm, @Nullable SiteId site, List<EntryDiff> entries) {
        /** Takes a copy of the list. */
        public SiteDiff {
            entries = List.copyOf(entries);
        }

        /** Returns the site, nothing for those without an overlay. */
        public Optional<SiteId> overlaySite() {
            return Optional.ofNullable(site);
        }
    }

    /**
     * A change of an entry or of one of its values.
     *
     * @param kind what would happen
     * @param path the dotted path of the entry, or of the value when the entry stays
     * @param before the value before; empty when added
     * @param after the value after; empty when removed
     * @param location the place that sets the value after, or set the one that is removed
     */
    public record EntryDiff(
            Kind kind, String path, String before, String after, SourceLocation location) {
        /** What would happen to an entry. */
        public enum Kind {
            /** It comes into being. */
            ADDED,
            /** It goes away. */
            REMOVED,
            /** Its value changes. */
            CHANGED
        }

        /** Returns one line for a person. */
        public String text() {
            return switch (kind) {
                case ADDED -> "+ " + path + ": " + after + "  # " + location.name();
                case REMOVED -> "- " + path + ": " + before + "  # " + location.name();
                default -> "~ " + path + ": " + before + " -> " + after + "  # " + location.name();
            };
        }
    }
}
