package org.azurearch.internal.call;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/** Defers tasks until an event loop has polled its sockets once more. */
public final class NextPoll {
    private static final long MIN_DELAY_MILLIS = 1;

    private NextPoll() {}

    /**
     * Runs a task after the event loop has read all sockets that are readable now. A scheduled task
     * that is due runs in the turn of the loop in which tasks are fetched, which may be the present
     * one; one that is scheduled by a task is fetched in a later turn.
     */
    public static void runAfter(EventLoop loop, Runnable task) {
        loop.execute(() -> loop.schedule(task, MIN_DELAY_MILLIS, TimeUnit.MILLISECONDS));
    }
}
