package org.azurearch.pgm.internal;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;

/**
 * Orderly shutdown on a signal. The main thread waits in {@link #awaitRequest()}, closes its
 * resources and calls {@link #markClosed()}; the shutdown hook delays the end of the process until
 * then, but no longer than a timeout.
 */
public final class Shutdown {
    private static final CountDownLatch REQUESTED = new CountDownLatch(1);
    private static final CountDownLatch CLOSED = new CountDownLatch(1);
    private static final long CLOSE_TIMEOUT_SECONDS = 60;

    private Shutdown() {}

    /** Waits until the shutdown of the process is requested. */
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

    /** Lets the process end; called after all resources have been closed. */
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
