package org.azurearch.pgm.internal;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;

/**
 * Waits for the signal to stop. The main thread then closes what it runs, and the process ends once
 * it has called {@link #markClosed()} or a bounded time has passed.
 */
public final class Shutdown {
    private static final CountDownLatch REQUESTED = new CountDownLatch(1);
    private static final CountDownLatch CLOSED = new CountDownLatch(1);
    private static final long CLOSE_TIMEOUT_SECONDS = 60;

    private Shutdown() {}

    /** Waits until the process is asked to stop. */
    public static void awaitRequest() {
        Runtime.getRuntime()
                .addShutdownHook(new Thread(Shutdown::requestAndAwaitClosed, "azurearch-shutdown"));
        try {
            REQUESTED.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new AzurearchException(ErrorCode.CANCELLED, "interrupted", e);
        }
    }

    /** Says that everything has been closed. */
    public static void markClosed() {
        CLOSED.countDown();
    }

    private static void requestAndAwaitClosed() {
        REQUESTED.countDown();
        try {
            CLOSED.await(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
