package org.azurearch.node.admin;

import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.lib.Digest;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.OperatorId;
import org.azurearch.lib.SiteId;
import org.azurearch.settings.SettingsSection;

/**
 * A bearer token as the settings describe it; only its hash is kept.
 *
 * @param operator the name of its holder, recorded with each change
 * @param hash the SHA-256 digest of the token
 * @param role what it allows
 * @param firm the firm that it is for
 * @param sites the sites that it is for; empty for all, and the base
 */
public record AccessToken(
        OperatorId operator, Digest hash, Role role, FirmId firm, Set<SiteId> sites) {
    /** Takes a copy of the sites. */
    public AccessToken {
        sites = Set.copyOf(sites);
    }

    /** Reads an entry of {@code admin.tokens}. */
    public static AccessToken from(SettingsSection section) {
        return new AccessToken(
                OperatorId.fromString(section.string("operator")),
                Digest.fromString(section.string("sha256")),
                Role.valueOf(section.string("role").toUpperCase(Locale.ROOT)),
                FirmId.fromString(section.string("firm")),
                section.strings("sites").stream()
                        .map(SiteId::fromString)
                        .collect(Collectors.toUnmodifiableSet()));
    }

    /**
     * Checks that the token allows something for a firm as a whole.
     *
     * @throws AzurearchException with {@code NOT_FOUND} for another firm, which must not learn
     *     whether this one exists, with {@code FORBIDDEN} when the role does not allow it
     */
    public void require(Role required, FirmId requested) {
        if (!firm.equals(requested)) {
            throw new AzurearchException(ErrorCode.NOT_FOUND, "no firm " + requested);
        }
        require(required);
    }

    /**
     * Checks the role.
     *
     * @throws AzurearchException with {@code FORBIDDEN} when the role does not allow it
     */
    public void require(Role required) {
        if (!role.includes(required)) {
            throw new AzurearchException(
                    ErrorCode.FORBIDDEN, "the token's role is " + role + ", needed is " + required);
        }
    }

    /**
     * Checks that the token may touch the overlay of a site.
     *
     * @throws AzurearchException with {@code FORBIDDEN} when it may not
     */
    public void requireSite(SiteId site) {
        if (!sites.isEmpty() && !sites.contains(site)) {
            throw new AzurearchException(ErrorCode.FORBIDDEN, "the token is not for site " + site);
        }
    }

    /**
     * Checks that the token may touch what holds for all sites.
     *
     * @throws AzurearchException with {@code FORBIDDEN} when it is for some sites only
     */
    public void requireAllSites() {
        if (!sites.isEmpty()) {
            throw new AzurearchException(
                    ErrorCode.FORBIDDEN, "the token is for the overlays of " + sites + " only");
        }
    }
}
