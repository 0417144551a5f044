package org.azurearch.fold;

import java.util.List;
import java.util.Optional;
import org.azurearch.errors.Problem;
import org.azurearch.lib.ChangeId;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.OperatorId;
import org.azurearch.lib.VersionId;
import org.jspecify.annotations.Nullable;

/**
 * The fold's decision on a change, identical on every node.
 *
 * @param change the change
 * @param firm its firm
 * @param operator the operator who published it
 * @param offset the offset of its first record
 * @param appendedAtMillis when the log appended it, in milliseconds since the epoch
 * @param status the decision
 * @param version the firm's version after the decision: the new one for an accepted publish or
 *     undo, otherwise the current one
 * @param winner the earlier change that it conflicts with, or null
 * @param problems why it is invalid; empty otherwise
 * @param note the operator's note
 */
public record ChangeOutcome(
        ChangeId change,
        FirmId firm,
        OperatorId operator,
        long offset,
        long appendedAtMillis,
        Status status,
        VersionId version,
        @Nullable ChangeId winner,
        List<Problem> problems,
        String note) {
    /** The decision on a change. */
    public enum Status {
        /** The change has taken effect. */
        ACCEPTED,
        /** Its content is invalid. */
        REFUSED_INVALID,
        /** A version later than the expected one has changed the same documents. */
        REFUSED_CONFLICT,
        /** The version to restore is not retained, or the expected version does not exist yet. */
        REFUSED_UNKNOWN_VERSION,
        /**
         * It needs a rule set newer than the one in force, or raises it by a number other than 1.
         */
        REFUSED_RULE_SET
    }

    /** Takes a copy of the problems. */
    public ChangeOutcome {
        problems = List.copyOf(problems);
    }

    /** Returns the earlier change that it conflicts with. */
    public Optional<ChangeId> conflictsWith() {
        return Optional.ofNullable(winner);
    }
}
