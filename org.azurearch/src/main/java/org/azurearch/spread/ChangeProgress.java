package org.azurearch.spread;

import java.util.List;
import org.azurearch.fold.ChangeOutcome;
import org.azurearch.lib.ChangeId;
import org.azurearch.lib.DataCentreId;
import org.azurearch.lib.NodeId;
import org.jspecify.annotations.Nullable;

/**
 * How far a change has come.
 *
 * @param change the change
 * @param status the stage it has reached, as far as this node knows
 * @param outcome the decision, or null before it is known here
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
        /** The log has taken it and this node has not folded it yet. */
        APPENDED,
        /** It was refused; see the outcome. */
        REFUSED,
        /** It was accepted and is not yet in force on every live node known. */
        ACCEPTED,
        /** It, or a later version, is in force on every live node known. */
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
     * @param total the live nodes known there
     * @param inForce how many of them have it, or a later version, in force
     * @param laggards nodes that do not, by id; bounded in number
     * @param silentSinceMillis when the data centre was last heard of, in milliseconds since the
     *     epoch, or 0 while it answers
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
