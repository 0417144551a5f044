package org.azurearch.admin;

import java.util.List;

/**
 * The differences that a change would make at each site.
 *
 * @param firm the firm
 * @param version the version that the change is compared with
 * @param status {@code valid} or {@code invalid}
 * @param problems the problems for which the change would be refused
 * @param sites the differences by site
 */
public record DiffReport(
        String firm,
        String version,
        String status,
        List<ProblemReport> problems,
        List<SiteDiff> sites) {
    /** Takes copies of the lists. */
    public DiffReport {
        problems = List.copyOf(problems);
        sites = List.copyOf(sites);
    }

    /**
     * The differences at a site.
     *
     * @param site the site
     * @param lines a line for each entry that is added, removed or changed
     */
    public record SiteDiff(String site, List<String> lines) {
        /** Takes a copy of the lines. */
        public SiteDiff {
            lines = List.copyOf(lines);
        }
    }
}
