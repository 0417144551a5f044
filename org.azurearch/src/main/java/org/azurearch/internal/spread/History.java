package org.azurearch.internal.spread;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.azurearch.errors.AzurearchException;
import org.azurearch.events.EventLog;
import org.azurearch.fold.FoldState;
import org.azurearch.log.LogRecord;
import org.azurearch.spread.Position;

/**
 * The current state and the most recent records, from which deltas are built. Immutable; bounded in
 * records and bytes.
 */
final class History {
    static final int MAX_RECORDS = 64;
    static final int MAX_BYTES = 4 << 20;

    private final FoldState mState;
    private final List<Step> mSteps;
    private final int mBytes;

    private History(FoldState state, List<Step> steps, int bytes) {
        mState = state;
        mSteps = steps;
        mBytes = bytes;
    }

    /** Returns a history without records that starts at a state. */
    static History startingAt(FoldState state) {
        return new History(state, List.of(), 0);
    }

    /** Returns the current state. */
    FoldState state() {
        return mState;
    }

    /** Returns the current position. */
    Position position() {
        return Position.of(mState);
    }

    /**
     * Returns the history extended by records.
     *
     * @param records records that follow the current state; those already folded are skipped
     * @throws org.azurearch.errors.AzurearchException as {@link FoldState#apply(LogRecord)} does
     */
    History append(List<LogRecord> records) {
        FoldState state = mState;
        List<Step> steps = new ArrayList<>(mSteps);
        int bytes = mBytes;
        for (LogRecord record : records) {
            if (record.offset() <= state.offset()) {
                continue;
            }
            FoldState next = state.apply(record);
            steps.add(new Step(state, record));
            bytes += record.data().length;
            state = next;
        }
        int drop = 0;
        while (steps.size() - drop > MAX_RECORDS || (bytes > MAX_BYTES && drop < steps.size())) {
            bytes -= steps.get(drop).record().data().length;
            drop++;
        }
        return new History(state, List.copyOf(steps.subList(drop, steps.size())), bytes);
    }

    /**
     * Builds the delta from an earlier position.
     *
     * @param base the earlier position
     * @param maxBytes the maximum total size of the records in bytes; one record is always included
     * @param format encodes the records
     * @return the delta; empty if the base is not in this history or is the current position, or if
     *     the format rejects the records as too large
     */
    Optional<Delta> deltaFrom(Position base, int maxBytes, FoldFormat format) {
        int first = indexOf(base);
        if (first < 0) {
            return Optional.empty();
        }
        List<LogRecord> records = new ArrayList<>();
        int bytes = 0;
        int next = first;
        while (next < mSteps.size()
                && (records.isEmpty()
                        || bytes + mSteps.get(next).record().data().length <= maxBytes)) {
            records.add(mSteps.get(next).record());
            bytes += mSteps.get(next).record().data().length;
            next++;
        }
        FoldState baseState = mSteps.get(first).base();
        FoldState target = next == mSteps.size() ? mState : mSteps.get(next).base();
        try {
            byte[] payload = format.encodeDelta(baseState, records);
            return Optional.of(new Delta(base, Position.of(target), payload));
        } catch (AzurearchException e) {
            EventLog.log(SpreadEvent.DELTA_NOT_MADE, Position.of(target), e.toString());
            return Optional.empty();
        }
    }

    private int indexOf(Position base) {
        for (int i = mSteps.size() - 1; i >= 0; i--) {
            if (Position.of(mSteps.get(i).base()).equals(base)) {
                return i;
            }
        }
        return -1;
    }

    /**
     * A record and the state that it was applied to.
     *
     * @param base the state before the record
     * @param record the record
     */
    private record Step(FoldState base, LogRecord record) {}
}
