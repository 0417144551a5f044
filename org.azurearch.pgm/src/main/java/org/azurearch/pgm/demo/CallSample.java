package org.azurearch.pgm.demo;

/**
 * A call that a user of the firm makes.
 *
 * @param callClass the class of its route
 * @param method the HTTP method
 * @param path the path
 * @param idempotent whether its route is idempotent
 */
public record CallSample(String callClass, String method, String path, boolean idempotent) {
    /** Returns an idempotent read. */
    static CallSample read(String callClass, String path) {
        return new CallSample(callClass, "GET", path, true);
    }

    /** Returns a non-idempotent post. */
    static CallSample post(String callClass, String path) {
        return new CallSample(callClass, "POST", path, false);
    }
}
