package org.azurearch.member;

import java.util.List;
import java.util.Optional;
import org.azurearch.lib.DataCentreId;
import org.azurearch.lib.NodeId;

/** The nodes that this node knows of; reads never block. */
public interface MemberView {
    /** Returns this node's own record. */
    Member self();

    /** Returns every node known, this one included, sorted by id. */
    List<Member> all();

    /** Returns the reachable nodes of a data centre, this one included where it belongs, by id. */
    List<Member> reachable(DataCentreId dataCentre);

    /** Returns the data centres known, sorted. */
    List<DataCentreId> dataCentres();

    /** Returns a node. */
    Optional<Member> member(NodeId node);

    /**
     * Adds a listener that is called after a change of the view.
     *
     * @param listener must be quick
     */
    void listen(Runnable listener);
}
