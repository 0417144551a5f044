package org.azurearch.sidecar.route;

/**
 * How busy a backend server is, as the node in front of it says.
 *
 * @param slots requests that it works on at a time
 * @param running requests that it works on now
 * @param waiting requests that wait in front of it
 * @param workMillis how long it works on a request on average; 0 if not known
 * @param failurePercent how many of the last requests it failed or rejected, in percent
 */
public record EndpointLoad(
        int slots, int running, int waiting, double workMillis, int failurePercent) {
    /** Nothing is known. */
    public static final EndpointLoad UNKNOWN = new EndpointLoad(0, 0, 0, 0, 0);
}
