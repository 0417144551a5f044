package org.azurearch.sidecar.internal.call;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** When a call is sent to a second backend server. Confined to one event loop. */
final class HedgeTimer {
    /** Sends the second attempt. */
    interface Sender {
        /**
         * Sends the second attempt if it is allowed.
         *
         * @param early whether the usual time has not come yet
         * @return whether it was sent
         */
        boolean trySend(boolean early);
    }

    private final EventExecutor mLoop;
    private final Sender mSender;
    private final ScheduledFuture<?> mUsual;
    private @Nullable ScheduledFuture<?> mEarly;

    /** Creates a timer that sends the second attempt after the usual delay. */
    HedgeTimer(EventExecutor loop, long usualMillis, Sender sender) {
        mLoop = loop;
        mSender = sender;
        mUsual = loop.schedule(() -> sender.trySend(false), usualMillis, TimeUnit.MILLISECONDS);
    }

    /** Also tries to send the second attempt after a shorter delay; only the first call counts. */
    void hasten(long afterMillis) {
        if (mEarly == null && !mUsual.isDone()) {
            long delay = Math.max(0, afterMillis);
            mEarly = mLoop.schedule(this::tryEarly, delay, TimeUnit.MILLISECONDS);
        }
    }

    void cancel() {
        mUsual.cancel(false);
        if (mEarly != null) {
            mEarly.cancel(false);
        }
    }

    private void tryEarly() {
        if (!mUsual.isDone() && mSender.trySend(true)) {
            mUsual.cancel(false);
        }
    }
}
