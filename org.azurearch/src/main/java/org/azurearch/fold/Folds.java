package org.azurearch.fold;

import org.azurearch.internal.config.RuleSets;
import org.azurearch.internal.fold.StateFold;
import org.azurearch.log.LogRecord;

/** Entry points of the fold. */
public final class Folds {
    /** The newest rule set that this program can judge by. */
    public static final int NEWEST_RULE_SET = RuleSets.NEWEST;

    private Folds() {}

    /** Returns the state before the first record of the change stream. */
    public static FoldState empty() {
        return StateFold.empty();
    }

    /**
     * Returns the state that a change would lead to if it were the next record. Nothing is
     * published; the outcome of the change and the documents tell what it would do.
     *
     * @param state the state to start from
     * @param change the change
     * @throws org.azurearch.errors.AzurearchException with {@code TOO_LARGE} when the change
     *     exceeds the size of a record
     */
    public static FoldState preview(FoldState state, Change change) {
        byte[] data = ChangeCodec.encode(change);
        return state.apply(new LogRecord(state.offset() + 1, change.createdAtMillis(), data));
    }
}
