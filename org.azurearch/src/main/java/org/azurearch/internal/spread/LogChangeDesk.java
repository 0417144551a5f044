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
import org.azurearch.spread.ChangeDesk;
import org.azurearch.spread.ChangeProgress;
import org.azurearch.time.TimerService;

/** Change desk over the log and the runner's state. */
final class LogChangeDesk implements ChangeDesk {
    private static final int MAX_REMEMBERED = 1_000;

    private final LogClient mLog;
    private final StreamId mStream;
    private final TimerService mTimers;
    private final SpreadRunner mRunner;
    private final ProgressSurvey mSurvey;
    private final Map<FirmChange, Long> mAppended =
            Collections.synchronizedMap(
                    new LinkedHashMap<>() {
                        private static final long serialVersionUID = 1L;

                        @Override
                        protected boolean removeEldestEntry(Map.Entry<FirmChange, Long> eldest) {
                            return size() > MAX_REMEMBERED;
                        }
                    });

    /** Identifies a change; two firms may choose the same id. */
    private record FirmChange(FirmId firm, ChangeId change) {}

    LogChangeDesk(
            LogClient log,
            String mesh,
            TimerService timers,
            SpreadRunner runner,
            ProgressSurvey survey) {
        mLog = log;
        mStream = StreamId.fromString(mesh + ".changes");
        mTimers = timers;
        mRunner = runner;
        mSurvey = survey;
    }

    @Override
    public CompletableFuture<Long> submit(Change change) {
        return new Appender(mLog, mStream, mTimers, change, this::folded)
                .run()
                .thenApply(
                        offset -> {
                            mAppended.put(new FirmChange(change.firm(), change.id()), offset);
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
                    mAppended.containsKey(new FirmChange(firm, change))
                            ? ChangeProgress.Status.APPENDED
                            : ChangeProgress.Status.UNKNOWN;
            return CompletableFuture.completedFuture(
                    new ChangeProgress(change, status, null, List.of()));
        }
        return mSurvey.ask(outcome.get().offset())
                .thenApply(
                        dataCentres ->
                                new ChangeProgress(
                                        change,
                                        ProgressSurvey.status(outcome.get(), dataCentres),
                                        outcome.get(),
                                        dataCentres));
    }

    private Optional<Long> folded(Change change) {
        return state().outcome(change.firm(), change.id()).map(ChangeOutcome::offset);
    }
}
