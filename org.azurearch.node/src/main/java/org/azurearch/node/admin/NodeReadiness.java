package org.azurearch.node.admin;

/** Tells why a node does not take calls. */
@FunctionalInterface
public interface NodeReadiness {
    /** Returns the reason, empty when the node takes calls. */
    String notReadyReason();
}
