package org.azurearch.sidecar.rollout;

/**
 * An operator's order to roll out a version of a service.
 *
 * @param service the name of the service
 * @param targetVersion the version; empty if the order was withdrawn
 * @param durationMillis the time within which the roll-out has to be decided
 * @param id the offset of the record in the operators' stream; the highest is the newest order
 */
public record RolloutOrder(String service, String targetVersion, long durationMillis, long id) {
    /** Returns the withdrawal of the order of a service. */
    public static RolloutOrder withdrawn(String service, long id) {
        return new RolloutOrder(service, "", 0, id);
    }

    /** Returns whether the order was withdrawn. */
    public boolean isWithdrawn() {
        return targetVersion.isEmpty();
    }
}
