package org.azurearch.admin;

/**
 * The merged configuration of a site.
 *
 * @param firm the firm
 * @param site the site
 * @param version the version
 * @param digest the digest of the merged content
 * @param yaml the merged document; if requested, each value is followed by a comment with the file
 *     and line that set it
 */
public record RenderReport(String firm, String site, String version, String digest, String yaml) {}
