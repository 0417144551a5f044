package org.azurearch.admin;

import java.time.Duration;
import java.util.Locale;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.ServiceId;
import org.azurearch.member.Announcement;
import org.azurearch.member.BackendState;

/**
 * The announcement that a backend server sends to its node.
 *
 * @param firm the firm
 * @param service the service
 * @param address the address that it listens on, {@code ip:port}
 * @param state {@code STARTING}, {@code READY} or {@code DRAINING}
 * @param slots the number of requests that it runs concurrently
 * @param leaseMillis the lease: how long the announcement holds unless renewed, in milliseconds
 */
public record AnnouncementBody(
        String firm, String service, String address, String state, int slots, long leaseMillis) {
    /**
     * Returns the announcement.
     *
     * @throws AzurearchException with {@code BAD_NAME} when a value is malformed
     */
    public Announcement announcement() {
        return new Announcement(
                FirmId.fromString(firm),
                ServiceId.fromString(service),
                NetAddress.fromString(address),
                parseState(state),
                slots,
                Duration.ofMillis(leaseMillis));
    }

    private static BackendState parseState(String state) {
        try {
            return BackendState.valueOf(state.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new AzurearchException(
                    ErrorCode.BAD_NAME, "expected starting, ready or draining, not " + state, e);
        }
    }
}
