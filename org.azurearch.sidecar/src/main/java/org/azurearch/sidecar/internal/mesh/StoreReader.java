package org.azurearch.sidecar.internal.mesh;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
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
 * Follows the configurations in the platform's store while this node reads for its data centre, and
 * tries the store again while it is out of reach. Confined to one event loop.
 */
final class StoreReader {
    /** How long the store may hold a read back; each read is paid for. */
    private static final Duration WAIT = Duration.ofSeconds(10);

    private static final Duration RETRY_BASE = Duration.ofMillis(150);

    /** Each refused call is paid for; within this time a store that is back is noticed. */
    private static final Duration RETRY_MAX = Duration.ofMillis(1_500);

    /** Takes what the reader finds. */
    interface Owner {
        /** A configuration was read. */
        void found(byte[] content);

        /** The store is in reach, or no longer. */
        void reachable(boolean reachable);
    }

    private final KeyedLog mLog;
    private final EventLoop mLoop;
    private final String mKey;
    private final Owner mOwner;
    private final Backoff mBackoff = new Backoff(RETRY_BASE, RETRY_MAX, new SplittableRandom());
    private boolean mActive;
    private boolean mBusy;
    private boolean mDown;
    private boolean mClosed;
    private long mDownSinceNanos;
    private long mNext = -1;

    /**
     * Creates a reader and reads the newest configuration once.
     *
     * @param log the platform's log
     * @param loop the event loop
     * @param key the key of the configuration
     * @param owner takes what is found
     */
    StoreReader(KeyedLog log, EventLoop loop, String key, Owner owner) {
        mLog = log;
        mLoop = loop;
        mKey = key;
        mOwner = owner;
        readNewest();
    }

    /** Says whether this node reads for its data centre. */
    void active(boolean active) {
        if (mActive != active) {
            mActive = active;
            if (active) {
                step();
            }
        }
    }

    private void step() {
        if (mBusy) {
            return;
        }
        if (mNext < 0 && (mActive || mDown)) {
            readNewest();
        } else if (mActive) {
            follow();
        }
    }

    private void readNewest() {
        mBusy = true;
        mLog.newest(KeyedLog.Stream.CONFIG).whenComplete(this::done);
    }

    private void follow() {
        mBusy = true;
        mLog.read(KeyedLog.Stream.CONFIG, mNext, WAIT).whenComplete(this::done);
    }

    private void done(KeyedRecords records, Throwable failure) {
        mBusy = false;
        if (failure != null) {
            failed(failure);
            return;
        }
        if (mDown) {
            mDown = false;
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mDownSinceNanos);
            EventLog.log(SidecarEvent.STORE_UP, "read", millis);
        }
        mBackoff.reset();
        mNext = records.endOffset();
        take(records.records());
        mOwner.reachable(true);
        if (mActive) {
            step();
        } else {
            mNext = -1;
        }
    }

    /** Ends the reading; a read that is held back ends with its connection. */
    void close() {
        mClosed = true;
        mActive = false;
    }

    /** Takes the last record of the key; those before it are outdated already. */
    private void take(List<KeyedRecord> records) {
        for (int i = records.size() - 1; i >= 0; i--) {
            KeyedRecord record = records.get(i);
            if (record.key().equals(mKey) && record.value().length > 0) {
                mOwner.found(record.value());
                return;
            }
        }
    }

    private void failed(Throwable wrapped) {
        if (mClosed) {
            return;
        }
        Throwable failure = Completions.unwrap(wrapped);
        boolean gone =
                failure instanceof AzurearchException known
                        && known.code() == ErrorCode.OFFSET_REMOVED;
        if (gone) {
            EventLog.log(SidecarEvent.STORE_HISTORY_GONE, KeyedLog.Stream.CONFIG, mNext);
            mNext = -1;
            step();
            return;
        }
        if (!mDown) {
            mDown = true;
            mDownSinceNanos = System.nanoTime();
            EventLog.log(SidecarEvent.STORE_DOWN, "read", failure.toString());
        }
        mNext = -1;
        mOwner.reachable(false);
        mLoop.schedule(this::step, mBackoff.nextDelay().toMillis(), TimeUnit.MILLISECONDS);
    }
}
