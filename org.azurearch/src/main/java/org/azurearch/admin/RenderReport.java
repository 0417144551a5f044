package org.azurearch.admin;

/**
 * The configuration of a site, merged.
 *
 * @param firm the firm
 * @param site the site
 * @param version the version
 * @param digest the digest of the merged content
 * @param yaml the merged document; with a comment that names file and line behind each value when
 *     that was asked for
 */
public record RenderReport(String firm, String site, String version, String digest, String yaml) {}
