package org.azurearch.internal.call;

/** A request is refused without having run, as {@link RequestMemory} is used up. */
public final class RequestMemoryException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Time in which other requests end and give back their memory. */
    public static final long RETRY_MILLIS = 500;

    RequestMemoryException() {
        super("the memory for requests is used up", null, false, false);
    }
}
