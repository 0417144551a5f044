package org.azurearch.fold;

import java.util.Optional;
import org.azurearch.lib.SiteId;
import org.jspecify.annotations.Nullable;

/**
 * The name of a document of a firm: its base, or the overlay of one site.
 *
 * @param site the site of the overlay, or null for the base
 */
public record DocumentName(@Nullable SiteId site) implements Comparable<DocumentName> {
    /** The name of the base. */
    public static final DocumentName BASE = new DocumentName(null);

    private static final String BASE_TEXT = "base";

    /** Returns the name of a site's overlay. */
    public static DocumentName overlay(SiteId site) {
        return new DocumentName(site);
    }

    /** Returns the site of an overlay, or empty for the base. */
    public Optional<SiteId> overlaySite() {
        return Optional.ofNullable(site);
    }

    /** Returns {@code base} or {@code overlays/SITE}. */
    public String name() {
        return site == null ? BASE_TEXT : "overlays/" + site.name();
    }

    @Override
    public int compareTo(DocumentName other) {
        return name().compareTo(other.name());
    }

    @Override
    public String toString() {
        return name();
    }
}
