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

/**
 * Long-polls the configurations in the platform's store while this node is a reader, and retries
 * while the store is unreachable. A poll without an answer in time is followed by another read, as
 * its answer may be lost though the store can be reached. Confined to one event loop.
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
         * Called after each read of the newest records, once they are delivered.
         *
         * @param askedNanos when the read was sent, on the steady clock
         */
        default void newestRead(long askedNanos) {}
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

    private final KeyedLog mLog;
    private final EventLoop mLoop;
    private final PollSchedule mSchedule;
    private final String mKey;
    private final Listener mListener;
    private final Backoff mBackoff = new Backoff(RETRY_BASE, RETRY_MAX, new SplittableRandom());
    private boolean mActive;
    private Read mRead = Read.NONE;

    /** Number of reads so far; of the answer to an earlier one only the records count. */
    private long mReads;

    /** Whether the last read ended with a new record, as did those of the other readers. */
    private boolean mReadTogether;

    private boolean mStoreDown;
    private boolean mClosed;
    private long mDownSinceNanos;
    private long mAskedNanos;
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
        mSchedule = schedule;
        mKey = key;
        mListener = listener;
        readNewest();
    }

    /**
     * Returns whether a read of all further records is under way, so that each new one arrives as
     * soon as it is stored.
     */
    boolean following() {
        return mActive && mRead == Read.POLL && !mStoreDown;
    }

    /** Sets whether this node is a reader of its data centre. */
    void setActive(boolean active) {
        if (mActive != active) {
            mActive = active;
            if (active) {
                readNext();
            }
        }
    }

    private void readNext() {
        if (mRead != Read.NONE) {
            return;
        }
        if (mNextOffset < 0 && (mActive || mStoreDown)) {
            readNewest();
        } else if (mActive) {
            longPoll();
        }
    }

    private void readNewest() {
        mAskedNanos = System.nanoTime();
        begin(Read.NEWEST, mLog.newest(KeyedLog.Stream.CONFIG));
    }

    private void longPoll() {
        Duration wait = mSchedule.nextWait(mReadTogether);
        long poll = begin(Read.POLL, mLog.read(KeyedLog.Stream.CONFIG, mNextOffset, wait));
        Duration lost = wait.plus(mSchedule.lostAfter());
        mLoop.schedule(() -> check(poll), lost.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Reads without a wait if a poll still has no answer. */
    private void check(long poll) {
        if (poll == mReads && mRead == Read.POLL && mActive && !mClosed) {
            EventLog.log(SidecarEvent.STORE_POLL_LOST, KeyedLog.Stream.CONFIG, mNextOffset);
            mLog.renewConnections();
            begin(Read.CHECK, mLog.read(KeyedLog.Stream.CONFIG, mNextOffset, Duration.ZERO));
        }
    }

    private long begin(Read read, CompletableFuture<KeyedRecords> answer) {
        mRead = read;
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
        if (failure != null) {
            failed(failure);
            return;
        }
        if (mStoreDown) {
            mStoreDown = false;
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mDownSinceNanos);
            EventLog.log(SidecarEvent.STORE_UP, "read", millis);
        }
        mBackoff.reset();
        mNextOffset = records.endOffset();
        mReadTogether = polled && !records.records().isEmpty();
        deliver(() -> deliverNewest(records.records()));
        long newestEnd = readNewest ? records.endOffset() : -1;
        deliver(() -> mListener.recordsRead(records.records(), newestEnd));
        mListener.reachable(true);
        if (readNewest) {
            mListener.newestRead(mAskedNanos);
        }
        if (mActive) {
            readNext();
        } else {
            mNextOffset = -1;
        }
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
        boolean historyRemoved =
                failure instanceof AzurearchException known
                        && known.code() == ErrorCode.OFFSET_REMOVED;
        if (historyRemoved) {
            EventLog.log(SidecarEvent.STORE_HISTORY_GONE, KeyedLog.Stream.CONFIG, mNextOffset);
            mNextOffset = -1;
            readNext();
            return;
        }
        if (!mStoreDown) {
            mStoreDown = true;
            mDownSinceNanos = System.nanoTime();
            EventLog.log(SidecarEvent.STORE_DOWN, "read", failure.toString());
        }
        mNextOffset = -1;
        mListener.reachable(false);
        mLoop.schedule(this::readNext, mBackoff.nextDelay().toMillis(), TimeUnit.MILLISECONDS);
    }
}
