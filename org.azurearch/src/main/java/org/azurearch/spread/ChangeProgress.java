package org.azurearch.spread;

import java.util.List;
import org.azurearch.fold.ChangeOutcome;
import org.azurearch.lib.ChangeId;
import org.azurearch.lib.DataCentreId;
import org.azurearch.lib.NodeId;
import org.jspecify.annotations.Nullable;

/**
 * The progress of a change towards being in force on every node.
 *
 * @param change the change
 * @param status the latest stage known to this node
 * @param outcome the decision, or null if this node does not know it yet
 * @param dataCentres the progress by data centre, sorted
 */
public record ChangeProgress(
        ChangeId change,
        Status status,
        @Nullable ChangeOutcome outcome,
        List<DataCentreProgress> dataCentres) {
    /** The stage of a change. */
    public enum Status {
        /** This node has not seen the change; it may not have been appended. */
        UNKNOWN,
        /** The change is in the log, and this node has not folded it yet. */
        APPENDED,
        /** The change was refused; see the outcome. */
        REFUSED,
        /** The change was accepted, and is not yet in force on every known live node. */
        ACCEPTED,
        /** The change, or a later version, is in force on every known live node. */
        IN_FORCE
    }

    /** Takes a copy of the list. */
    public ChangeProgress {
        dataCentres = List.copyOf(dataCentres);
    }

    /**
     * Progress within a data centre.
     *
     * @param dataCentre the data centre
     * @param total the number of known live nodes there
     * @param inForce the number of them that have the change, or a later version, in force
     * @param laggards ids of nodes that do not; bounded in number
     * @param silentSinceMillis when a node of the data centre last reported, in milliseconds since
     *     the epoch, or 0 while the data centre answers
     */
    public record DataCentreProgress(
            DataCentreId dataCentre,
            int total,
            int inForce,
            List<NodeId> laggards,
            long silentSinceMillis) {
        /** Takes a copy of the list. */
        public DataCentreProgress {
            laggards = List.copyOf(laggards);
        }
    }
}
