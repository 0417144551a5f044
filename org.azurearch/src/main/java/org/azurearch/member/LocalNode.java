package org.azurearch.member;

import org.azurearch.lib.NetAddress;

/** This node's own entry in the membership. */
public interface LocalNode {
    /**
     * Sets the address at which this node accepts calls; until then peers send it none. Called once
     * its listener is bound and a configuration is in force.
     */
    void setCallsAddress(NetAddress address);

    /** Sets the address at which this node serves the administration API. */
    void setAdminAddress(NetAddress address);

    /**
     * Notifies peers that this node is leaving; returns when those notified have answered or
     * failed, or after a timeout.
     */
    void leave();
}
