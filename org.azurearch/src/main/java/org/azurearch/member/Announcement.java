package org.azurearch.member;

import java.time.Duration;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.ServiceId;

/**
 * A backend server's registration with its own node.
 *
 * @param firm the firm
 * @param service the service
 * @param address where it accepts requests, on loopback
 * @param state {@code STARTING}, {@code READY} or {@code DRAINING}
 * @param slots maximum number of concurrent requests, 1 or more
 * @param lease how long the announcement is valid unless renewed
 */
public record Announcement(
        FirmId firm,
        ServiceId service,
        NetAddress address,
        BackendState state,
        int slots,
        Duration lease) {
    /** Returns whether another announcement is of the same backend server. */
    public boolean sameServer(Announcement other) {
        return address.equals(other.address)
                && firm.equals(other.firm)
                && service.equals(other.service);
    }
}
