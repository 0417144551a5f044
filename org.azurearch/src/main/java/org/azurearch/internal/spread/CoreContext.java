package org.azurearch.internal.spread;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.events.EventCode;
import org.azurearch.fold.FoldState;
import org.azurearch.log.LogRecord;
import org.azurearch.spread.Position;
import org.azurearch.spread.StateSource;

/** State shared by the parts of the distribution core; not thread-safe. */
final class CoreContext {
    private final SpreadSettings mSettings;
    private final FoldFormat mFormat;
    private final RandomGenerator mRandom;
    private final List<SpreadEffect> mEffects = new ArrayList<>();
    private Topology mTopology;
    private History mHistory;
    private StateSource mSource = StateSource.NONE;
    private String mBlockReason = "";

    CoreContext(
            SpreadSettings settings, FoldFormat format, RandomGenerator random, Topology topology) {
        mSettings = settings;
        mFormat = format;
        mRandom = random;
        mTopology = topology;
        mHistory = History.startingAt(format.emptyState());
    }

    SpreadSettings settings() {
        return mSettings;
    }

    FoldFormat format() {
        return mFormat;
    }

    RandomGenerator random() {
        return mRandom;
    }

    Topology topology() {
        return mTopology;
    }

    void topology(Topology topology) {
        mTopology = topology;
    }

    History history() {
        return mHistory;
    }

    Position position() {
        return mHistory.position();
    }

    StateSource source() {
        return mSource;
    }

    /** Returns whether nothing has been folded yet. */
    boolean empty() {
        return mHistory.state().offset() < 0;
    }

    /** Returns why the next record cannot be folded; empty if it can. */
    String blockReason() {
        return mBlockReason;
    }

    /** Returns whether this release of the node cannot fold the next record. */
    boolean blocked() {
        return !mBlockReason.isEmpty();
    }

    /** Returns whether this node reads the log. */
    boolean reader() {
        return mSettings.policy().everyNodeReads() || mTopology.rank() >= 0;
    }

    void emit(SpreadEffect effect) {
        mEffects.add(effect);
    }

    void report(EventCode event, Object... arguments) {
        emit(new SpreadEffect.Report(event, List.of(arguments)));
    }

    /** Returns and clears the collected effects. */
    List<SpreadEffect> drainEffects() {
        List<SpreadEffect> taken = List.copyOf(mEffects);
        mEffects.clear();
        return taken;
    }

    /** Returns an element chosen uniformly at random. */
    <T> T pick(List<T> choices) {
        return choices.get(mRandom.nextInt(choices.size()));
    }

    /** Returns a random duration between 0.5 and 1.5 times the mean, in milliseconds. */
    long jittered(long meanMillis) {
        return meanMillis / 2 + mRandom.nextLong(meanMillis + 1);
    }

    /** Folds log records up to the first one that cannot be folded. */
    void foldRecords(List<LogRecord> records) {
        History before = mHistory;
        try {
            for (LogRecord record : records) {
                mHistory = mHistory.append(List.of(record));
            }
        } catch (AzurearchException e) {
            block(e);
        }
        emitIfAdvanced(before, StateSource.LOG);
    }

    /**
     * Folds all records of a delta or none.
     *
     * @return whether the node is now at the target position or later
     */
    boolean foldDelta(Delta delta, StateSource source) {
        if (!delta.target().after(position())) {
            return true;
        }
        if (!delta.base().equals(position())) {
            return false;
        }
        List<LogRecord> records = List.of();
        try {
            records = mFormat.decodeDelta(mHistory.state(), delta.payload());
            History next = mHistory.append(records);
            if (!next.position().equals(delta.target())) {
                report(SpreadEvent.DELTA_REFUSED, delta.target(), "leads to " + next.position());
                return false;
            }
            History before = mHistory;
            mHistory = next;
            emitIfAdvanced(before, source);
            return true;
        } catch (AzurearchException e) {
            rejectDelta(delta, records.size(), e);
            return false;
        }
    }

    /**
     * Replaces the state with that of a snapshot, if the snapshot is at a later offset or at the
     * same offset with another digest.
     *
     * @return whether the state was replaced
     */
    boolean install(FoldState state, StateSource source) {
        boolean corrects = Position.of(state).contradicts(position());
        if (state.offset() <= mHistory.state().offset() && !corrects) {
            return false;
        }
        mHistory = History.startingAt(state);
        mSource = source;
        emit(new SpreadEffect.Installed(state, source));
        return true;
    }

    private void rejectDelta(Delta delta, int records, AzurearchException e) {
        if (e.code() == ErrorCode.UNKNOWN_RULE_SET && records == 1) {
            block(e);
        } else {
            report(SpreadEvent.DELTA_REFUSED, delta.target(), String.valueOf(e.getMessage()));
        }
    }

    private void block(AzurearchException e) {
        String reason = e.code().code() + ": " + e.getMessage();
        if (reason.equals(mBlockReason)) {
            return;
        }
        mBlockReason = reason;
        SpreadEvent event =
                e.code() == ErrorCode.UNKNOWN_RULE_SET
                        ? SpreadEvent.RULE_SET_UNKNOWN
                        : SpreadEvent.RECORD_REFUSED;
        report(event, mHistory.state().offset(), reason);
    }

    private void emitIfAdvanced(History before, StateSource source) {
        if (mHistory.state().offset() > before.state().offset()) {
            mSource = source;
            emit(new SpreadEffect.Installed(mHistory.state(), source));
        }
    }
}
