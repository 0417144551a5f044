package org.azurearch.node.admin;

/** Readiness check of a node. */
@FunctionalInterface
public interface NodeReadiness {
    /** Returns why the node does not take calls; empty when it does. */
    String notReadyReason();
}
