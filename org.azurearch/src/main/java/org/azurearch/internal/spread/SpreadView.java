package org.azurearch.internal.spread;

import org.azurearch.spread.Position;
import org.azurearch.spread.StateSource;

/**
 * What other threads see of the distribution core.
 *
 * @param history the state and the records that led to it
 * @param source where the state came from last
 * @param reader whether this node reads the log
 * @param reason what holds the node up; empty when nothing does
 */
record SpreadView(History history, StateSource source, boolean reader, String reason) {
    /** Returns the view of a core. */
    static SpreadView of(SpreadCore core) {
        return new SpreadView(core.history(), core.source(), core.reader(), core.reason());
    }

    /** Returns the position folded. */
    Position position() {
        return history.position();
    }
}
