package org.azurearch.internal.member;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.azurearch.errors.AzurearchException;
import org.azurearch.events.EventLog;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.StreamId;
import org.azurearch.log.LogBatch;
import org.azurearch.log.LogClient;
import org.azurearch.log.LogRecord;
import org.azurearch.log.OffsetRemovedException;
import org.azurearch.member.Member;
import org.azurearch.time.TimerService;
import org.jspecify.annotations.Nullable;

/** Reads and writes join records in the log, one step at a time. */
final class JoinRecordService implements AutoCloseable {
    private static final int READ_BYTES = 256 * 1_024;

    private final JoinRecordCore mCore;
    private final StreamId mStream;
    private final Supplier<Optional<LogClient>> mLog;
    private final Supplier<JoinRecordCore.Standing> mStanding;
    private final Supplier<Member> mSelf;
    private final Consumer<List<NetAddress>> mFound;
    private final TimerService mTimers;
    private long mNextOffset;
    private TimerService.@Nullable ScheduledTask mTimer;
    private boolean mClosed;

    /**
     * Creates the service; it starts with {@link #start()}.
     *
     * @param core decides
     * @param stream the stream of join records
     * @param log finds the log's client, if there is one
     * @param standing says what this node is to the others
     * @param self returns this node's own record
     * @param found takes the addresses found
     * @param timers the timers
     */
    JoinRecordService(
            JoinRecordCore core,
            StreamId stream,
            Supplier<Optional<LogClient>> log,
            Supplier<JoinRecordCore.Standing> standing,
            Supplier<Member> self,
            Consumer<List<NetAddress>> found,
            TimerService timers) {
        mCore = core;
        mStream = stream;
        mLog = log;
        mStanding = standing;
        mSelf = self;
        mFound = found;
        mTimers = timers;
    }

    /** Looks for the first time soon. */
    synchronized void start() {
        schedule(mCore.nextCheck(JoinRecordCore.Standing.ALONE));
    }

    @Override
    public synchronized void close() {
        mClosed = true;
        if (mTimer != null) {
            mTimer.cancel();
        }
    }

    private synchronized void schedule(Duration delay) {
        if (!mClosed) {
            mTimer = mTimers.after(delay, this::check);
        }
    }

    private synchronized void check() {
        JoinRecordCore.Standing standing = mStanding.get();
        Optional<LogClient> log = mLog.get();
        if (log.isEmpty() || standing == JoinRecordCore.Standing.ORDINARY) {
            schedule(mCore.nextCheck(standing));
            return;
        }
        read(log.get());
    }

    private synchronized void read(LogClient log) {
        log.read(mStream, mNextOffset, READ_BYTES, Duration.ZERO)
                .whenComplete((batch, failure) -> takeRead(log, batch, failure));
    }

    private synchronized void takeRead(
            LogClient log, @Nullable LogBatch batch, @Nullable Throwable failure) {
        if (batch == null) {
            takeReadFailure(log, failure);
        } else if (batch.records().isEmpty()) {
            finish(log);
        } else {
            batch.records().forEach(this::take);
            read(log);
        }
    }

    private void takeReadFailure(LogClient log, @Nullable Throwable failure) {
        Throwable cause =
                failure != null && failure.getCause() != null ? failure.getCause() : failure;
        if (cause instanceof OffsetRemovedException removed && removed.earliest() > mNextOffset) {
            mNextOffset = removed.earliest();
            read(log);
            return;
        }
        EventLog.log(MemberEvent.JOIN_RECORDS_UNREAD, String.valueOf(cause));
        schedule(mCore.nextCheck(mStanding.get()));
    }

    private void take(LogRecord record) {
        mNextOffset = record.offset() + 1;
        try {
            mCore.read(JoinRecord.decode(record.data()), record.appendedAtMillis());
        } catch (AzurearchException e) {
            EventLog.log(
                    MemberEvent.JOIN_RECORD_MALFORMED,
                    record.offset(),
                    String.valueOf(e.getMessage()));
        }
    }

    private void finish(LogClient log) {
        mFound.accept(mCore.addresses());
        JoinRecordCore.Standing standing = mStanding.get();
        Moment now = Moment.now(mTimers.time());
        if (mCore.shouldAppend(standing, now)) {
            mCore.appended(now);
            log.append(mStream, JoinRecord.encode(mSelf.get()))
                    .whenComplete((offset, failure) -> noteAppended(failure));
        }
        schedule(mCore.nextCheck(standing));
    }

    private static void noteAppended(@Nullable Throwable failure) {
        if (failure != null) {
            EventLog.log(MemberEvent.JOIN_RECORD_FAILED, failure.toString());
        }
    }
}
