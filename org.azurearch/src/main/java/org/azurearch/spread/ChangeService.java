package org.azurearch.spread;

import java.util.concurrent.CompletableFuture;
import org.azurearch.fold.Change;
import org.azurearch.fold.FoldState;
import org.azurearch.lib.ChangeId;
import org.azurearch.lib.FirmId;

/** Submits operators' changes and reports their progress. */
public interface ChangeService {
    /**
     * Appends a change to the log. If the reply is lost, the append is retried with the same change
     * id; the fold ignores the duplicate.
     *
     * @return the offset; fails with {@code LOG_UNAVAILABLE} if the change was certainly not
     *     appended, or with {@code LOG_RESULT_UNKNOWN} if it may have been
     */
    CompletableFuture<Long> submit(Change change);

    /** Returns the state that this node has folded; its offset never decreases. */
    FoldState state();

    /**
     * Queries every data centre for the progress of a change.
     *
     * @param firm the firm of the change; an id may occur in several firms
     * @param change the change
     * @return the progress known now; a data centre that does not answer is reported as silent
     */
    CompletableFuture<ChangeProgress> progress(FirmId firm, ChangeId change);
}
