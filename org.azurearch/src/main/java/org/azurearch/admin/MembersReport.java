package org.azurearch.admin;

import java.util.List;

/**
 * The nodes known to a node.
 *
 * @param node the node that answers
 * @param members the nodes
 */
public record MembersReport(String node, List<MemberReport> members) {
    /** Takes a copy of the list. */
    public MembersReport {
        members = List.copyOf(members);
    }
}
