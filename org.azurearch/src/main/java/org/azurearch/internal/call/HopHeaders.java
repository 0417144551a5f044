package org.azurearch.internal.call;

/** Names of the HTTP headers between nodes. */
final class HopHeaders {
    /** In requests to the destination node: a {@link HopRequest}. */
    static final String HOP = "azurearch-hop";

    /** In requests to the home node of a ticket or key: a {@link HomeRequest}. */
    static final String HOME = "azurearch-home";

    /** In answers: the number of free slots at the destination. */
    static final String FREE_SLOTS = "azurearch-free-slots";

    private HopHeaders() {}
}
