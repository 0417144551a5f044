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
 * What the fold decided on a change; the same on every node.
 *
 * @param change the change
 * @param firm its firm
 * @param operator who published it
 * @param offset the offset of its first record
 * @param appendedAtMillis when the log took it, in milliseconds since the epoch
 * @param status the decision
 * @param version the version it became, or the firm's version that it was refused at
 * @param winner the change that it conflicts with, or null
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
        /** It became a version. */
        ACCEPTED,
        /** Its content is invalid. */
        REFUSED_INVALID,
        /** Another change to the same documents came first. */
        REFUSED_CONFLICT,
        /** The version to go back to is not retained. */
        REFUSED_UNKNOWN_VERSION,
        /** It asks for a rule set that the mesh has not been raised to. */
        REFUSED_RULE_SET
    }

    /** Takes a copy of the problems. */
    public ChangeOutcome {
        problems = List.copyOf(problems);
    }

    /** Returns the change that it conflicts with. */
    public Optional<ChangeId> conflictsWith() {
        return Optional.ofNullable(winner);
    }
}
