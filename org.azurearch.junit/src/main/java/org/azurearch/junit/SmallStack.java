package org.azurearch.junit;

import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;

/** Runs tasks on a thread whose stack is as small as those of a node on the users' platform. */
public final class SmallStack {
    private static final long STACK_BYTES = 256 * 1024;

    private SmallStack() {}

    /** Runs a task and returns its result, or throws what it threw. */
    public static <T> T call(Callable<T> task) throws Exception {
        FutureTask<T> result = new FutureTask<>(task);
        new Thread(null, result, "small-stack", STACK_BYTES).start();
        try {
            return result.get();
        } catch (ExecutionException e) {
            if (e.getCause() instanceof Error error) {
                throw error;
            }
            throw (Exception) e.getCause();
        }
    }
}
