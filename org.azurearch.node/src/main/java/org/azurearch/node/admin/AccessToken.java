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
 * A bearer token from the settings, which hold only its hash.
 *
 * @param operator the holder of the token, recorded with each change
 * @param hash the SHA-256 digest of the token
 * @param role the operations that it permits
 * @param firm the firm that it is valid for
 * @param sites the sites whose overlays it may change; if empty, all sites and the base
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
     * Checks that the token is valid for a firm and has a role.
     *
     * @throws AzurearchException with {@code NOT_FOUND} when the token is for another firm, so that
     *     its holder does not learn whether this firm exists; with {@code FORBIDDEN} when its role
     *     is insufficient
     */
    public void require(Role required, FirmId requested) {
        if (!firm.equals(requested)) {
            throw new AzurearchException(ErrorCode.NOT_FOUND, "no firm " + requested);
        }
        require(required);
    }

    /**
     * Checks that the token has a role.
     *
     * @throws AzurearchException with {@code FORBIDDEN} when its role is insufficient
     */
    public void require(Role required) {
        if (!role.includes(required)) {
            throw new AzurearchException(
                    ErrorCode.FORBIDDEN,
                    "the token's role is " + role + ", required is " + required);
        }
    }

    /**
     * Checks that the token may change the overlay of a site.
     *
     * @throws AzurearchException with {@code FORBIDDEN} when it may not
     */
    public void requireSite(SiteId site) {
        if (!sites.isEmpty() && !sites.contains(site)) {
            throw new AzurearchException(
                    ErrorCode.FORBIDDEN, "the token is not valid for site " + site);
        }
    }

    /**
     * Checks that the token may make changes that apply to all sites.
     *
     * @throws AzurearchException with {@code FORBIDDEN} when it is limited to some sites
     */
    public void requireAllSites() {
        if (!sites.isEmpty()) {
            throw new AzurearchException(
                    ErrorCode.FORBIDDEN,
                    "the token is valid for the overlays of " + sites + " only");
        }
    }
}
