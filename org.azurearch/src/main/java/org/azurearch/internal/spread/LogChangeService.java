package org.azurearch.internal.spread;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.azurearch.fold.Change;
import org.azurearch.fold.ChangeOutcome;
import org.azurearch.fold.FoldState;
import org.azurearch.lib.ChangeId;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.StreamId;
import org.azurearch.log.LogClient;
import org.azurearch.spread.ChangeProgress;
import org.azurearch.spread.ChangeService;
import org.azurearch.time.TimerService;

/** Change service on top of the log and the runner's state; thread-safe. */
final class LogChangeService implements ChangeService {
    private static final int MAX_APPENDED_OFFSETS = 1_000;

    private final LogClient mLog;
    private final StreamId mStream;
    private final TimerService mTimers;
    private final SpreadRunner mRunner;
    private final ProgressQuery mProgressQuery;
    private final Map<FirmChange, Long> mAppendedOffsets =
            Collections.synchronizedMap(
                    new LinkedHashMap<>() {
                        private static final long serialVersionUID = 1L;

                        @Override
                        protected boolean removeEldestEntry(Map.Entry<FirmChange, Long> eldest) {
                            return size() > MAX_APPENDED_OFFSETS;
                        }
                    });

    /** Identifies a change; two firms may use the same change id. */
    private record FirmChange(FirmId firm, ChangeId change) {}

    LogChangeService(
            LogClient log,
            String mesh,
            TimerService timers,
            SpreadRunner runner,
            ProgressQuery progressQuery) {
        mLog = log;
        mStream = StreamId.fromString(mesh + ".changes");
        mTimers = timers;
        mRunner = runner;
        mProgressQuery = progressQuery;
    }

    @Override
    public CompletableFuture<Long> submit(Change change) {
        return new ChangeAppender(mLog, mStream, mTimers, change, this::foldedOffset)
                .run()
                .thenApply(
                        offset -> {
                            mAppendedOffsets.put(
                                    new FirmChange(change.firm(), change.id()), offset);
                            return offset;
                        });
    }

    @Override
    public FoldState state() {
        return mRunner.view().history().state();
    }

    @Override
    public CompletableFuture<ChangeProgress> progress(FirmId firm, ChangeId change) {
        Optional<ChangeOutcome> outcome = state().outcome(firm, change);
        if (outcome.isEmpty()) {
            ChangeProgress.Status status =
                    mAppendedOffsets.containsKey(new FirmChange(firm, change))
                            ? ChangeProgress.Status.APPENDED
                            : ChangeProgress.Status.UNKNOWN;
            return CompletableFuture.completedFuture(
                    new ChangeProgress(change, status, null, List.of()));
        }
        return mProgressQuery
                .query(outcome.get().offset())
                .thenApply(
                        dataCentres ->
                                new ChangeProgress(
                                        change,
                                        ProgressQuery.status(outcome.get(), dataCentres),
                                        outcome.get(),
                                        dataCentres));
    }

    private Optional<Long> foldedOffset(Change change) {
        return state().outcome(change.firm(), change.id()).map(ChangeOutcome::offset);
    }
}
