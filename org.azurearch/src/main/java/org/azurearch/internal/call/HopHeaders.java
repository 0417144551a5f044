package org.azurearch.internal.call;

/** Names of the HTTP headers between nodes. */
final class HopHeaders {
    /** In requests: what the destination node has to know, see {@link HopRequest}. */
    static final String HOP = "azurearch-hop";

    /** In requests: what the deciding node has to know, see {@link HomeRequest}. */
    static final String HOME = "azurearch-home";

    /** In answers: the slots that were free at the destination. */
    static final String FREE_SLOTS = "azurearch-free-slots";

    private HopHeaders() {}
}
