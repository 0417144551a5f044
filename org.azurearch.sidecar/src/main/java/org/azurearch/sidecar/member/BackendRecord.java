package org.azurearch.sidecar.member;

/**
 * The description of a backend server that its node publishes to its peers.
 *
 * @param service the name of the service
 * @param instance identifies this run of the backend server
 * @param slots the number of requests that it runs concurrently
 * @param ready whether it takes requests
 * @param warmingMillis how much longer it is slow after its start, in milliseconds
 */
public record BackendRecord(
        String service, String instance, int slots, boolean ready, int warmingMillis) {
    /** Checks that the number of slots is positive. */
    public BackendRecord {
        if (slots <= 0) {
            throw new IllegalArgumentException("slots must be positive: " + slots);
        }
    }
}
