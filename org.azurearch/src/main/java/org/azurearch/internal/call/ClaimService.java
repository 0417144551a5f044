package org.azurearch.internal.call;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.azurearch.call.CallEvent;
import org.azurearch.call.ClaimTable;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.Completions;
import org.azurearch.errors.ErrorCode;
import org.azurearch.events.EventLog;
import org.azurearch.kernel.Duty;
import org.azurearch.kernel.OverflowRule;
import org.azurearch.lib.StreamId;
import org.azurearch.log.LogBatch;
import org.azurearch.log.LogClient;
import org.azurearch.log.LogRecord;
import org.azurearch.log.OffsetRemovedException;
import org.azurearch.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * Claims callers' idempotency keys through the log: the claim with the lowest offset wins. A duty
 * batches the claims of this node to stay within its share of the append rate, and starts to read
 * the stream when the node makes its first claim. Thread-safe.
 */
final class ClaimService implements AutoCloseable {
    private static final int RING_CAPACITY = 1_024;
    private static final int MAX_BATCH_CLAIMS = 200;
    private static final int MAX_READ_BYTES = 1024 * 1024;
    private static final Duration LONG_POLL_WAIT = Duration.ofSeconds(10);
    private static final Duration TICK_INTERVAL = Duration.ofMillis(20);
    private static final Duration READ_RETRY_DELAY = Duration.ofMillis(200);

    private static final LogBatch EMPTY_BATCH = new LogBatch(List.of(), 0, 0);

    private sealed interface Message {}

    private record ClaimRequested(Pending pending) implements Message {}

    private record Appended(List<Pending> batch, @Nullable Throwable failure) implements Message {}

    private record Read(@Nullable LogBatch batch, @Nullable Throwable failure) implements Message {}

    private record Tick() implements Message {}

    /** A claim whose winner is not yet determined. */
    private static final class Pending {
        private final String mKey;
        private final String mTicket;
        private final long mDeadlineNanos;
        private final CompletableFuture<String> mWinner = new CompletableFuture<>();

        Pending(String key, String ticket, long deadlineNanos) {
            mKey = key;
            mTicket = ticket;
            mDeadlineNanos = deadlineNanos;
        }
    }

    private final LogClient mLog;
    private final StreamId mStream;
    private final TimerService mTimers;
    private final ClaimSettings mSettings;
    private final Duty<Message> mDuty;
    private final ClaimTable mTable;
    private final List<Pending> mUnsent = new ArrayList<>();
    private final Map<String, Pending> mSent = new HashMap<>();
    private final TimerService.ScheduledTask mTicks;
    private long mNextOffset;
    private boolean mReading;
    private boolean mAppending;
    private long mAppendedAtNanos;

    ClaimService(
            LogClient log,
            StreamId stream,
            TimerService timers,
            ClaimSettings settings,
            MetricRegistry metrics) {
        mLog = log;
        mStream = stream;
        mTimers = timers;
        mSettings = settings;
        mTable = new ClaimTable(settings.lifetime().toMillis());
        mAppendedAtNanos = timers.time().nanos() - settings.appendInterval().toNanos();
        mDuty =
                new Duty<>(
                        "claims", RING_CAPACITY, OverflowRule.REJECT_NEWEST, metrics, this::handle);
        mTicks = timers.every(TICK_INTERVAL, () -> mDuty.offer(new Tick()));
    }

    /**
     * Claims a key.
     *
     * @param key the key
     * @param ticket the ticket that the key gets if this claim is its first
     * @return the ticket of the winning claim; fails with {@link ErrorCode#BUSY} or {@link
     *     ErrorCode#LOG_UNAVAILABLE} when it cannot be determined in time
     */
    CompletableFuture<String> claim(String key, String ticket) {
        long deadline = mTimers.time().nanos() + mSettings.timeout().toNanos();
        Pending pending = new Pending(key, ticket, deadline);
        if (!mDuty.offer(new ClaimRequested(pending))) {
            pending.mWinner.completeExceptionally(
                    new AzurearchException(ErrorCode.BUSY, "too many claims are pending"));
        }
        return pending.mWinner;
    }

    @Override
    public void close() {
        mTicks.cancel();
        mDuty.close();
    }

    private void handle(Message message) {
        if (message instanceof ClaimRequested requested) {
            onClaimRequested(requested.pending());
        } else if (message instanceof Appended appended) {
            onAppended(appended);
        } else if (message instanceof Read read) {
            onRead(read);
        } else {
            onTick();
        }
    }

    private void onClaimRequested(Pending pending) {
        readNext();
        String winner = mTable.ticketAt(pending.mKey, mTimers.time().wallMillis());
        if (winner != null) {
            pending.mWinner.complete(winner);
            return;
        }
        mUnsent.add(pending);
        append();
    }

    private void onAppended(Appended appended) {
        mAppending = false;
        if (notAppended(appended.failure())) {
            appended.batch().forEach(pending -> fail(pending, "the log is not available"));
            appended.batch().forEach(pending -> mSent.remove(pending.mTicket));
        }
    }

    private void onRead(Read read) {
        mReading = false;
        LogBatch batch = read.batch();
        if (batch != null) {
            batch.records().forEach(this::apply);
            readNext();
        } else if (read.failure() != null
                && Completions.unwrap(read.failure()) instanceof OffsetRemovedException removed) {
            mNextOffset = removed.earliest();
            readNext();
        } else {
            mReading = true;
            mTimers.after(READ_RETRY_DELAY, () -> mDuty.offer(new Read(EMPTY_BATCH, null)));
        }
    }

    private void onTick() {
        long now = mTimers.time().nanos();
        failExpired(mUnsent, now);
        failExpired(mSent.values(), now);
        append();
    }

    private void append() {
        long now = mTimers.time().nanos();
        boolean tooEarly = now - mAppendedAtNanos < mSettings.appendInterval().toNanos();
        if (mUnsent.isEmpty() || mAppending || tooEarly) {
            return;
        }
        List<Pending> batch =
                List.copyOf(mUnsent.subList(0, Math.min(MAX_BATCH_CLAIMS, mUnsent.size())));
        mUnsent.removeAll(batch);
        batch.forEach(pending -> mSent.put(pending.mTicket, pending));
        mAppending = true;
        mAppendedAtNanos = now;
        List<ClaimBatch.Claim> claims = new ArrayList<>();
        batch.forEach(pending -> claims.add(new ClaimBatch.Claim(pending.mKey, pending.mTicket)));
        mLog.append(mStream, new ClaimBatch(claims).bytes())
                .whenComplete((offset, failure) -> mDuty.offer(new Appended(batch, failure)));
    }

    private void readNext() {
        if (mReading) {
            return;
        }
        mReading = true;
        mLog.read(mStream, mNextOffset, MAX_READ_BYTES, LONG_POLL_WAIT)
                .whenComplete((batch, failure) -> mDuty.offer(new Read(batch, failure)));
    }

    private void apply(LogRecord record) {
        if (record.offset() < mNextOffset) {
            return;
        }
        mNextOffset = record.offset() + 1;
        ClaimBatch batch = ClaimBatch.fromBytes(record.data()).orElse(null);
        if (batch == null) {
            EventLog.log(CallEvent.CLAIM_MALFORMED, record.offset());
            return;
        }
        for (ClaimBatch.Claim claim : batch.claims()) {
            mTable.apply(claim.key(), claim.ticket(), record.appendedAtMillis());
            completePending(claim);
        }
    }

    /** Completes a claim of this node. All earlier claims were applied, so the winner is final. */
    private void completePending(ClaimBatch.Claim claim) {
        Pending pending = mSent.remove(claim.ticket());
        String winner = mTable.ticket(claim.key());
        if (pending != null && winner != null) {
            pending.mWinner.complete(winner);
        }
    }

    private static void failExpired(Collection<Pending> pendings, long nowNanos) {
        Iterator<Pending> all = pendings.iterator();
        while (all.hasNext()) {
            Pending pending = all.next();
            if (nowNanos - pending.mDeadlineNanos >= 0) {
                all.remove();
                fail(pending, "the log did not answer in time");
            }
        }
    }

    private static void fail(Pending pending, String detail) {
        pending.mWinner.completeExceptionally(
                new AzurearchException(ErrorCode.LOG_UNAVAILABLE, detail));
    }

    /** Returns whether an append failed and certainly had no effect. */
    private static boolean notAppended(@Nullable Throwable failure) {
        return failure != null
                && Completions.unwrap(failure) instanceof AzurearchException known
                && known.code() != ErrorCode.LOG_RESULT_UNKNOWN;
    }
}
