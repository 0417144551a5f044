package org.azurearch.member;

import org.azurearch.lib.NetAddress;

/** This node's own entry in the membership. */
public interface LocalNode {
    /**
     * Makes known where this node takes calls; until then the others send it none. Called once its
     * listener is bound and a configuration is in force.
     */
    void setCallsAddress(NetAddress address);

    /** Makes known where this node serves the administration API. */
    void setAdminAddress(NetAddress address);

    /** Tells the other nodes that this node leaves by plan; returns when enough of them know. */
    void leave();
}
