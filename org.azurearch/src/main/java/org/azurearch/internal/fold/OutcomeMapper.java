package org.azurearch.internal.fold;

import java.util.ArrayList;
import java.util.List;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.errors.Problem;
import org.azurearch.errors.SourceLocation;
import org.azurearch.fold.ChangeOutcome;
import org.azurearch.lib.ChangeId;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.OperatorId;
import org.azurearch.lib.VersionId;
import org.azurearch.thrift.WireOutcome;
import org.azurearch.thrift.WireProblem;

/** Converts decisions between their typed and their Thrift form. */
final class OutcomeMapper {
    private static final ChangeOutcome.Status[] STATUSES = ChangeOutcome.Status.values();

    private OutcomeMapper() {}

    /** Returns the Thrift form. */
    static WireOutcome toWire(ChangeOutcome outcome) {
        WireOutcome wire = new WireOutcome();
        wire.setChange(outcome.change().name());
        wire.setOperatorId(outcome.operator().name());
        wire.setOffset(outcome.offset());
        wire.setAppendedAtMillis(outcome.appendedAtMillis());
        wire.setStatus(outcome.status().ordinal());
        wire.setVersion(outcome.version().number());
        outcome.conflictsWith().ifPresent(winner -> wire.setWinner(winner.name()));
        for (Problem problem : outcome.problems()) {
            wire.addToProblems(
                    new WireProblem(
                            problem.code().code(),
                            problem.location().file(),
                            problem.location().line(),
                            problem.message()));
        }
        wire.setNote(outcome.note());
        return wire;
    }

    /** Returns the typed form. */
    static ChangeOutcome fromWire(FirmId firm, WireOutcome wire) {
        List<Problem> problems = new ArrayList<>();
        for (int i = 0; i < wire.getProblemsSize(); i++) {
            WireProblem problem = wire.getProblems().get(i);
            SourceLocation location = new SourceLocation(problem.getFile(), problem.getLine());
            problems.add(new Problem(code(problem.getCode()), location, problem.getMessage()));
        }
        if (wire.getStatus() < 0 || wire.getStatus() >= STATUSES.length) {
            throw new AzurearchException(ErrorCode.CORRUPT, "unknown status " + wire.getStatus());
        }
        return new ChangeOutcome(
                ChangeId.fromString(wire.getChange()),
                firm,
                OperatorId.fromString(wire.getOperatorId()),
                wire.getOffset(),
                wire.getAppendedAtMillis(),
                STATUSES[wire.getStatus()],
                new VersionId(firm, wire.getVersion()),
                wire.isSetWinner() ? ChangeId.fromString(wire.getWinner()) : null,
                problems,
                wire.getNote());
    }

    private static ErrorCode code(String text) {
        for (ErrorCode code : ErrorCode.values()) {
            if (code.code().equals(text)) {
                return code;
            }
        }
        return ErrorCode.INVALID;
    }
}
