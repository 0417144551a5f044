package org.azurearch.sidecar.rollout;

/** The keys and formats in which the platform stores orders and their status. */
public interface RolloutCodec {
    /** Returns the prefix of the keys of orders and status records; a service name follows. */
    String keyPrefix();

    /**
     * Decodes an order.
     *
     * @param service the service that its key names
     * @param content the stored bytes; empty if the record was removed
     * @param id the offset of the record
     * @throws RuntimeException if the content is not a valid order
     */
    RolloutOrder decode(String service, byte[] content, long id);

    /** Encodes the status of a roll-out for operators. */
    byte[] status(RolloutState state);

    /** Returns whether a status record states the final decision on a version. */
    boolean isFinal(byte[] status, String targetVersion);
}
