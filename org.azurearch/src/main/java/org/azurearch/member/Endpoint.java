package org.azurearch.member;

import org.azurearch.lib.DataCentreId;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.NodeId;
import org.azurearch.lib.RegionId;
import org.azurearch.lib.ServiceId;

/**
 * A backend server in the membership records; peers reach it through its own node.
 *
 * @param firm the firm that runs it
 * @param service the service that it offers
 * @param node the node beside it
 * @param nodeIncarnation the incarnation of that node
 * @param dataCentre the data centre of both
 * @param region the region of both
 * @param calls where the node accepts calls from peers
 * @param state the state
 * @param slots maximum number of concurrent requests
 * @param readySinceMillis when it became ready, in milliseconds since the epoch by its node's clock
 */
public record Endpoint(
        FirmId firm,
        ServiceId service,
        NodeId node,
        long nodeIncarnation,
        DataCentreId dataCentre,
        RegionId region,
        NetAddress calls,
        BackendState state,
        int slots,
        long readySinceMillis) {}
