package org.azurearch.member;

import java.time.Duration;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.ServiceId;

/**
 * What a backend server says of itself to its own node.
 *
 * @param firm the firm
 * @param service the service
 * @param address where it takes requests, on loopback
 * @param state {@code STARTING}, {@code READY} or {@code DRAINING}
 * @param slots requests that it runs at once, 1 or more
 * @param lease how long the announcement holds unless renewed
 */
public record Announcement(
        FirmId firm,
        ServiceId service,
        NetAddress address,
        BackendState state,
        int slots,
        Duration lease) {}
