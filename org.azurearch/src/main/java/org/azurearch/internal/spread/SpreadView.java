package org.azurearch.internal.spread;

import org.azurearch.spread.Position;
import org.azurearch.spread.StateSource;

/**
 * View of the distribution core that is published for other threads; immutable.
 *
 * @param history the state and the most recent records
 * @param source the source of the last update of the state
 * @param reader whether this node reads the log
 * @param reason why the node has no state or cannot follow the log; empty if it can
 */
record SpreadView(History history, StateSource source, boolean reader, String reason) {
    /** Returns the view of a core. */
    static SpreadView of(SpreadCore core) {
        return new SpreadView(core.history(), core.source(), core.reader(), core.reason());
    }

    /** Returns the position that the node has folded up to. */
    Position position() {
        return history.position();
    }
}
