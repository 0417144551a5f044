package org.azurearch.sidecar.internal.mesh;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.Completions;
import org.azurearch.errors.ErrorCode;
import org.azurearch.events.EventLog;
import org.azurearch.sidecar.SidecarEvent;
import org.azurearch.sidecar.store.KeyedLog;
import org.azurearch.sidecar.store.KeyedRecord;
import org.azurearch.sidecar.store.KeyedRecords;
import org.azurearch.time.Backoff;
import org.jspecify.annotations.Nullable;

/**
 * Long-polls the configurations in the platform's store while this node is a reader, and retries
 * while the store is unreachable. Beside the polls it checks the end of the stream, which tells as
 * of when all has been read, and finds records that a lost poll has missed. Confined to one event
 * loop.
 */
final class StoreReader {
    private static final Duration RETRY_BASE = Duration.ofMillis(150);

    /**
     * Long, as refused requests are charged too; a store that recovers is found within this time.
     */
    private static final Duration RETRY_MAX = Duration.ofMillis(1_500);

    /** Receives the events of the reader. */
    interface Listener {
        /** Called with each configuration that was read. */
        void configRead(byte[] content);

        /**
         * Called with all records of a read.
         *
         * @param records the records
         * @param newestEnd the end of the stream if they are the newest ones of all keys; negative
         *     otherwise
         */
        default void recordsRead(List<KeyedRecord> records, long newestEnd) {}

        /** Called after each read with whether the store could be reached. */
        void reachable(boolean reachable);

        /**
         * Called when all records are delivered that the store held at a time.
         *
         * @param asOfNanos the time, on the steady clock
         */
        default void upToDate(long asOfNanos) {}
    }

    /** The read that is under way. */
    private enum Read {
        NONE,
        /** A read of the newest record of each key. */
        NEWEST,
        /** A long poll of all further records. */
        POLL,
        /** A read of further records that does not wait, as a poll may be lost. */
        CHECK
    }

    /** Records that are read by a poll after a check; of more, only the newest ones are read. */
    private static final int MAX_MISSING = 2;

    private final KeyedLog mLog;
    private final EventLoop mLoop;
    private final StoreWatch mWatch;
    private final PollSchedule mSchedule;
    private final String mKey;
    private final Listener mListener;
    private final Backoff mBackoff = new Backoff(RETRY_BASE, RETRY_MAX, new SplittableRandom());
    private boolean mActive;
    private boolean mAnswered;
    private Read mRead = Read.NONE;

    /** Number of reads so far; of the answer to an earlier one only the records count. */
    private long mReads;

    /** Whether the last read ended with a new record, as did those of the other readers. */
    private boolean mReadTogether;

    private boolean mStoreDown;
    private boolean mClosed;
    private long mDownSinceNanos;
    private long mSentNanos;
    private long mNextOffset = -1;

    /**
     * Creates a reader and reads the newest configuration once.
     *
     * @param log the platform's log
     * @param loop the event loop
     * @param schedule decides how long reads wait
     * @param key the key of the configuration
     * @param listener receives the events of the reader
     */
    StoreReader(
            KeyedLog log, EventLoop loop, PollSchedule schedule, String key, Listener listener) {
        mLog = log;
        mLoop = loop;
        mWatch = new StoreWatch(schedule.applyNanos(), System.nanoTime());
        mSchedule = schedule;
        mKey = key;
        mListener = listener;
        readNewest();
    }

    /**
     * Checks the end of the stream if that is due; called a few times a second.
     *
     * @param ageNanos how long ago the configuration in force was known to be the newest
     * @param second whether another node checks as well, whose word is missing then
     */
    void tick(long ageNanos, boolean second, long nowNanos) {
        mWatch.tick(mLog.lastReceivedNanos(), nowNanos);
        if (!mActive || mStoreDown || mClosed) {
            return;
        }
        boolean missing = mWatch.missingNanos(nowNanos) > mSchedule.lostAfter().toNanos();
        if (mRead == Read.POLL && missing && !arriving()) {
            readMissing();
        }
        if (mWatch.checkDue(ageNanos, second, nowNanos)) {
            checkEnd(nowNanos);
        }
    }

    /** Returns whether the store has sent nothing for a long time though it was asked. */
    boolean storeSilent() {
        return mActive && !mStoreDown && mWatch.silent();
    }

    /** Returns whether the store has answered no read since this node became a reader. */
    boolean unanswered() {
        return mActive && !mAnswered;
    }

    private void checkEnd(long nowNanos) {
        if (mWatch.late(nowNanos)) {
            mLog.renewConnections();
        }
        mWatch.checkSent(nowNanos);
        mLog.endOffset(KeyedLog.Stream.CONFIG)
                .whenComplete(
                        (end, failure) -> {
                            if (failure == null) {
                                endChecked(nowNanos, end);
                            } else {
                                checkFailed(nowNanos, Completions.unwrap(failure));
                            }
                        });
    }

    private void endChecked(long sentNanos, long endOffset) {
        mAnswered = true;
        storeAnswered();
        if (mWatch.checkAnswered(sentNanos, endOffset, System.nanoTime())) {
            mListener.upToDate(sentNanos);
        }
    }

    /** A check whose answer is lost while others arrive shows nothing. */
    private void checkFailed(long sentNanos, Throwable failure) {
        mWatch.checkEnded(sentNanos);
        boolean lost = code(failure) == ErrorCode.LOG_RESULT_UNKNOWN && heardSince(sentNanos);
        if (mActive && !mStoreDown && !lost) {
            mReads++;
            mRead = Read.NONE;
            failed(failure);
        }
    }

    /** Returns whether bytes have arrived a moment ago, so that an answer may be arriving. */
    private boolean arriving() {
        return heardSince(System.nanoTime() - mSchedule.lostAfter().toNanos());
    }

    private boolean heardSince(long nanos) {
        return mLog.lastReceivedNanos() - nanos > 0;
    }

    /** Sets whether this node is a reader of its data centre. */
    void setActive(boolean active) {
        if (mActive != active) {
            mActive = active;
            mAnswered = false;
            mWatch.resume();
            if (active) {
                readNext();
            }
        }
    }

    private void readNext() {
        if (mRead != Read.NONE) {
            return;
        }
        boolean gap = mNextOffset < 0 || mWatch.missing() > MAX_MISSING;
        if (gap && (mActive || mStoreDown)) {
            readNewest();
        } else if (mActive) {
            longPoll();
        }
    }

    private void readNewest() {
        begin(Read.NEWEST, mLog.newest(KeyedLog.Stream.CONFIG));
    }

    private void longPoll() {
        Duration wait = mSchedule.nextWait(mReadTogether);
        long poll = begin(Read.POLL, mLog.read(KeyedLog.Stream.CONFIG, mNextOffset, wait));
        checkLater(poll, wait.plus(mSchedule.lostAfter()));
    }

    private void checkLater(long poll, Duration delay) {
        mLoop.schedule(() -> check(poll), delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Reads without a wait if a poll still has no answer, and none is arriving. */
    private void check(long poll) {
        if (poll != mReads || mRead != Read.POLL || !mActive || mClosed) {
            return;
        }
        if (arriving()) {
            checkLater(poll, mSchedule.lostAfter());
        } else {
            readMissing();
        }
    }

    private void readMissing() {
        EventLog.log(SidecarEvent.STORE_POLL_LOST, KeyedLog.Stream.CONFIG, mNextOffset);
        mLog.renewConnections();
        if (mWatch.missing() > MAX_MISSING) {
            readNewest();
        } else {
            begin(Read.CHECK, mLog.read(KeyedLog.Stream.CONFIG, mNextOffset, Duration.ZERO));
        }
    }

    private long begin(Read read, CompletableFuture<KeyedRecords> answer) {
        mRead = read;
        mSentNanos = System.nanoTime();
        long number = ++mReads;
        answer.whenComplete(
                (records, failure) -> {
                    if (number == mReads) {
                        readCompleted(records, failure);
                    } else if (failure == null) {
                        deliver(() -> deliverNewest(records.records()));
                    }
                });
        return number;
    }

    private void readCompleted(KeyedRecords records, Throwable failure) {
        boolean readNewest = mRead == Read.NEWEST;
        boolean polled = mRead == Read.POLL;
        mRead = Read.NONE;
        mAnswered |= failure == null;
        if (failure != null) {
            failed(failure);
            return;
        }
        storeAnswered();
        mBackoff.reset();
        mNextOffset = records.endOffset();
        mReadTogether = polled && !records.records().isEmpty();
        deliver(() -> deliverNewest(records.records()));
        long newestEnd = readNewest ? records.endOffset() : -1;
        deliver(() -> mListener.recordsRead(records.records(), newestEnd));
        mWatch.readTo(records.endOffset(), mSentNanos, records.complete())
                .ifPresent(mListener::upToDate);
        if (mActive) {
            readNext();
        } else {
            mNextOffset = -1;
        }
    }

    /** Records that the store can be reached, although its answer may be late. */
    private void storeAnswered() {
        if (mStoreDown) {
            mStoreDown = false;
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mDownSinceNanos);
            EventLog.log(SidecarEvent.STORE_UP, "read", millis);
        }
        mListener.reachable(true);
    }

    /** Stops reading; a pending long poll ends with its connection. */
    void close() {
        mClosed = true;
        mActive = false;
    }

    /** Delivers what was read; if that fails, the next records are read all the same. */
    private void deliver(Runnable delivery) {
        try {
            delivery.run();
        } catch (RuntimeException e) {
            EventLog.log(
                    SidecarEvent.STORE_RECORD_UNREADABLE,
                    KeyedLog.Stream.CONFIG,
                    mKey,
                    mNextOffset,
                    e.toString());
        }
    }

    /** Delivers the last record of the key, which supersedes the earlier ones. */
    private void deliverNewest(List<KeyedRecord> records) {
        for (int i = records.size() - 1; i >= 0; i--) {
            KeyedRecord record = records.get(i);
            if (record.key().equals(mKey) && record.value().length > 0) {
                mListener.configRead(record.value());
                return;
            }
        }
    }

    private void failed(Throwable wrapped) {
        if (mClosed) {
            return;
        }
        Throwable failure = Completions.unwrap(wrapped);
        if (code(failure) == ErrorCode.OFFSET_REMOVED) {
            EventLog.log(SidecarEvent.STORE_HISTORY_GONE, KeyedLog.Stream.CONFIG, mNextOffset);
            mNextOffset = -1;
            readNext();
            return;
        }
        if (code(failure) == ErrorCode.LOG_RESULT_UNKNOWN && arriving()) {
            // Other answers arrive, so that the store can be reached.
            mNextOffset = -1;
            retry();
            return;
        }
        if (!mStoreDown) {
            mStoreDown = true;
            mDownSinceNanos = System.nanoTime();
            EventLog.log(SidecarEvent.STORE_DOWN, "read", failure.toString());
        }
        mNextOffset = -1;
        mListener.reachable(false);
        if (code(failure) == ErrorCode.LOG_RESULT_UNKNOWN) {
            // Finds out whether the store is silent or only late.
            checkEnd(System.nanoTime());
        }
        retry();
    }

    private void retry() {
        mLoop.schedule(this::readNext, mBackoff.nextDelay().toMillis(), TimeUnit.MILLISECONDS);
    }

    private static @Nullable ErrorCode code(Throwable failure) {
        return failure instanceof AzurearchException known ? known.code() : null;
    }
}
