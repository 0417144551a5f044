package org.azurearch.fold;

import org.azurearch.internal.config.RuleSets;
import org.azurearch.internal.fold.ImmutableFoldState;

/** Entry points of the fold. */
public final class Folds {
    /** The newest rule set that this release supports. */
    public static final int NEWEST_RULE_SET = RuleSets.NEWEST;

    private Folds() {}

    /** Returns the state before the first record of the change stream. */
    public static FoldState empty() {
        return ImmutableFoldState.empty();
    }
}
