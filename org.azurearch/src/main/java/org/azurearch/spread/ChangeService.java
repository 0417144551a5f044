package org.azurearch.spread;

import java.util.concurrent.CompletableFuture;
import org.azurearch.fold.Change;
import org.azurearch.fold.FoldState;
import org.azurearch.lib.ChangeId;
import org.azurearch.lib.FirmId;

/** Where operators' changes are handed in and asked after. */
public interface ChangeService {
    /**
     * Appends a change to the log; a lost answer is retried with the same change id, which the fold
     * recognises.
     *
     * @return the offset; it fails with {@code LOG_UNAVAILABLE} when the change certainly was not
     *     appended, or {@code LOG_RESULT_UNKNOWN}
     */
    CompletableFuture<Long> submit(Change change);

    /** Returns the state that this node has folded; never goes back. */
    FoldState state();

    /**
     * Asks every data centre how far a change has come.
     *
     * @param firm the firm of the change; an id may occur in several firms
     * @param change the change
     * @return what is known now; a data centre that does not answer is reported as silent
     */
    CompletableFuture<ChangeProgress> progress(FirmId firm, ChangeId change);
}
