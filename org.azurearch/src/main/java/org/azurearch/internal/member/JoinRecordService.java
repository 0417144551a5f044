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

/** Reads join records from the log and appends this node's own when needed. */
final class JoinRecordService implements AutoCloseable {
    private static final int READ_BYTES = 256 * 1_024;

    private final JoinRecordCore mCore;
    private final StreamId mStream;
    private final Supplier<Optional<LogClient>> mLog;
    private final Supplier<JoinRecordCore.Role> mRole;
    private final Supplier<Member> mSelf;
    private final Consumer<List<NetAddress>> mAddressConsumer;
    private final TimerService mTimers;
    private long mNextOffset;
    private TimerService.@Nullable ScheduledTask mTimer;
    private boolean mClosed;

    /**
     * Creates the service; it starts with {@link #start()}.
     *
     * @param core decides when to read and append
     * @param stream the stream of join records
     * @param log supplies the log client, if there is one
     * @param role supplies the role of this node
     * @param self supplies this node's own record
     * @param addressConsumer receives the addresses found
     * @param timers the timers
     */
    JoinRecordService(
            JoinRecordCore core,
            StreamId stream,
            Supplier<Optional<LogClient>> log,
            Supplier<JoinRecordCore.Role> role,
            Supplier<Member> self,
            Consumer<List<NetAddress>> addressConsumer,
            TimerService timers) {
        mCore = core;
        mStream = stream;
        mLog = log;
        mRole = role;
        mSelf = self;
        mAddressConsumer = addressConsumer;
        mTimers = timers;
    }

    /** Schedules the first check. */
    synchronized void start() {
        schedule(mCore.nextCheckDelay(JoinRecordCore.Role.ALONE));
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
        JoinRecordCore.Role role = mRole.get();
        Optional<LogClient> log = mLog.get();
        if (log.isEmpty() || role == JoinRecordCore.Role.ORDINARY) {
            schedule(mCore.nextCheckDelay(role));
            return;
        }
        read(log.get());
    }

    private synchronized void read(LogClient log) {
        log.read(mStream, mNextOffset, READ_BYTES, Duration.ZERO)
                .whenComplete((batch, failure) -> handleBatch(log, batch, failure));
    }

    private synchronized void handleBatch(
            LogClient log, @Nullable LogBatch batch, @Nullable Throwable failure) {
        if (batch == null) {
            handleReadFailure(log, failure);
        } else if (batch.records().isEmpty()) {
            finishCheck(log);
        } else {
            batch.records().forEach(this::addRecord);
            read(log);
        }
    }

    private void handleReadFailure(LogClient log, @Nullable Throwable failure) {
        Throwable cause =
                failure != null && failure.getCause() != null ? failure.getCause() : failure;
        if (cause instanceof OffsetRemovedException removed && removed.earliest() > mNextOffset) {
            mNextOffset = removed.earliest();
            read(log);
            return;
        }
        EventLog.log(MemberEvent.JOIN_RECORDS_UNREAD, String.valueOf(cause));
        schedule(mCore.nextCheckDelay(mRole.get()));
    }

    private void addRecord(LogRecord record) {
        mNextOffset = record.offset() + 1;
        try {
            mCore.addRecord(JoinRecord.decode(record.data()), record.appendedAtMillis());
        } catch (AzurearchException e) {
            EventLog.log(
                    MemberEvent.JOIN_RECORD_MALFORMED,
                    record.offset(),
                    String.valueOf(e.getMessage()));
        }
    }

    private void finishCheck(LogClient log) {
        mAddressConsumer.accept(mCore.addresses());
        JoinRecordCore.Role role = mRole.get();
        Moment now = Moment.now(mTimers.time());
        if (mCore.shouldAppend(role, now)) {
            mCore.recordAppend(now);
            log.append(mStream, JoinRecord.encode(mSelf.get()))
                    .whenComplete((offset, failure) -> logAppendFailure(failure));
        }
        schedule(mCore.nextCheckDelay(role));
    }

    private static void logAppendFailure(@Nullable Throwable failure) {
        if (failure != null) {
            EventLog.log(MemberEvent.JOIN_RECORD_FAILED, failure.toString());
        }
    }
}
