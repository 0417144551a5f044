package org.azurearch.sidecar.member;

/**
 * A backend server as other nodes need to know it.
 *
 * @param service the name of the service
 * @param instance identifies this run of the backend server
 * @param slots requests that it works on at a time
 * @param ready whether it takes requests
 * @param warmingMillis how much longer it is slow after its start
 */
public record BackendRecord(
        String service, String instance, int slots, boolean ready, int warmingMillis) {
    /** Checks the slots. */
    public BackendRecord {
        if (slots <= 0) {
            throw new IllegalArgumentException("slots must be positive: " + slots);
        }
    }
}
