package org.azurearch.internal.spread;

import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.Completions;
import org.azurearch.errors.ErrorCode;
import org.azurearch.events.EventLog;
import org.azurearch.fold.Change;
import org.azurearch.fold.ChangeCodec;
import org.azurearch.lib.StreamId;
import org.azurearch.log.LogClient;
import org.azurearch.time.Backoff;
import org.azurearch.time.TimerService;

/**
 * Appends one change. An append that was refused or whose reply was lost is retried with the same
 * change id, until the change is found in the folded state or the timeout expires. The fold ignores
 * duplicates of a change id.
 */
final class ChangeAppender {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final Duration BACKOFF_BASE = Duration.ofMillis(200);
    private static final Duration BACKOFF_MAX = Duration.ofSeconds(2);

    private final LogClient mLog;
    private final StreamId mStream;
    private final TimerService mTimers;
    private final Change mChange;
    private final Function<Change, Optional<Long>> mFoldedOffset;
    private final byte[] mData;
    private final Backoff mBackoff;
    private final long mDeadlineMillis;
    private final CompletableFuture<Long> mResult = new CompletableFuture<>();
    private boolean mMayHaveBeenAppended;

    /**
     * Creates an appender.
     *
     * @param log the log
     * @param stream the change stream
     * @param timers the timers
     * @param change the change
     * @param foldedOffset returns the offset of a change that has been folded already
     */
    ChangeAppender(
            LogClient log,
            StreamId stream,
            TimerService timers,
            Change change,
            Function<Change, Optional<Long>> foldedOffset) {
        mLog = log;
        mStream = stream;
        mTimers = timers;
        mChange = change;
        mFoldedOffset = foldedOffset;
        mData = ChangeCodec.encode(change);
        mBackoff =
                new Backoff(
                        BACKOFF_BASE,
                        BACKOFF_MAX,
                        new SplittableRandom(change.id().hashCode() ^ timers.time().nanos()));
        mDeadlineMillis = timers.time().millis() + TIMEOUT.toMillis();
    }

    /** Appends the change and returns its offset. */
    CompletableFuture<Long> run() {
        attempt();
        return mResult;
    }

    private void attempt() {
        Optional<Long> folded = mFoldedOffset.apply(mChange);
        if (folded.isPresent()) {
            mResult.complete(folded.get());
            return;
        }
        mLog.append(mStream, mData)
                .whenComplete(
                        (offset, failure) -> {
                            if (failure == null) {
                                mResult.complete(offset);
                            } else {
                                onFailure(failure);
                            }
                        });
    }

    private void onFailure(Throwable failure) {
        Throwable cause = Completions.unwrap(failure);
        ErrorCode code =
                cause instanceof AzurearchException known ? known.code() : ErrorCode.INTERNAL;
        if (code != ErrorCode.LOG_UNAVAILABLE && code != ErrorCode.LOG_RESULT_UNKNOWN) {
            mResult.completeExceptionally(cause);
            return;
        }
        mMayHaveBeenAppended |= code == ErrorCode.LOG_RESULT_UNKNOWN;
        long delay = mBackoff.nextDelay().toMillis();
        if (mTimers.time().millis() + delay >= mDeadlineMillis) {
            giveUp(cause);
            return;
        }
        EventLog.log(SpreadEvent.APPEND_RETRIED, mChange.id(), String.valueOf(cause.getMessage()));
        mTimers.after(Duration.ofMillis(delay), this::attempt);
    }

    private void giveUp(Throwable cause) {
        Optional<Long> folded = mFoldedOffset.apply(mChange);
        if (folded.isPresent()) {
            mResult.complete(folded.get());
            return;
        }
        ErrorCode code =
                mMayHaveBeenAppended ? ErrorCode.LOG_RESULT_UNKNOWN : ErrorCode.LOG_UNAVAILABLE;
        mResult.completeExceptionally(
                new AzurearchException(
                        code,
                        mMayHaveBeenAppended
                                ? "the change may have been appended: " + cause.getMessage()
                                : "the change was not appended: " + cause.getMessage(),
                        cause));
    }
}
