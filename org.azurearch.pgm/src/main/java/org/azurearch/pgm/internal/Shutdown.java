package org.azurearch.pgm.internal;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;

/**
 * Waits for the signal to stop. The main thread then closes what it runs, and the process ends once
 * it has called {@link #done()} or a bounded time has passed.
 */
public final class Shutdown {
    private static final CountDownLatch ASKED = new CountDownLatch(1);
    private static final CountDownLatch DONE = new CountDownLatch(1);
    private static final long CLOSE_SECONDS = 60;

    private Shutdown() {}

    /** Waits until the process is asked to stop. */
    public static void await() {
        Runtime.getRuntime().addShutdownHook(new Thread(Shutdown::stop, "azurearch-shutdown"));
        try {
            ASKED.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new AzurearchException(ErrorCode.CANCELLED, "interrupted", e);
        }
    }

    /** Says that everything has been closed. */
    public static void done() {
        DONE.countDown();
    }

    private static void stop() {
        ASKED.countDown();
        try {
            DONE.await(CLOSE_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
