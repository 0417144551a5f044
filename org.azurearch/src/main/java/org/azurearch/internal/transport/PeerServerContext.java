package org.azurearch.internal.transport;

import com.codahale.metrics.Counter;

/**
 * What the connections of a server share.
 *
 * @param limits the limits
 * @param codec the codec
 * @param sealer opens requests and seals replies
 * @param dispatcher hands requests to handlers
 * @param bytes counts bytes
 * @param connections counts connections
 * @param refused counts messages that were not authenticated
 */
record PeerServerContext(
        PeerSettings.Limits limits,
        ThriftCodec codec,
        Sealer sealer,
        PeerDispatcher dispatcher,
        ControlBytes bytes,
        ConnectionLimits connections,
        Counter refused) {}
