package org.azurearch.member;

import java.util.List;
import java.util.Optional;
import org.azurearch.lib.DataCentreId;
import org.azurearch.lib.NodeId;

/** The nodes known to this node; reads never block. */
public interface MemberView {
    /** Returns this node's own record. */
    Member self();

    /** Returns all known nodes, including this one, sorted by id. */
    List<Member> all();

    /**
     * Returns the reachable nodes of a data centre, including this one if it belongs to it, sorted
     * by id.
     */
    List<Member> reachable(DataCentreId dataCentre);

    /** Returns the data centres that have reachable nodes, sorted. */
    List<DataCentreId> dataCentres();

    /** Returns a node, or empty if it is unknown. */
    Optional<Member> member(NodeId node);

    /**
     * Adds a listener that is called after a change of the view.
     *
     * @param listener must return quickly
     */
    void addListener(Runnable listener);
}
