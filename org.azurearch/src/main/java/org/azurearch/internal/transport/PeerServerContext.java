package org.azurearch.internal.transport;

import com.codahale.metrics.Counter;

/**
 * What the connections of a server share.
 *
 * @param limits the limits
 * @param codec the codec
 * @param sealer opens requests and seals replies
 * @param dispatcher hands requests to handlers
 * @param byteCounters counts bytes
 * @param connectionLimiter counts connections
 * @param unauthenticated counts messages that were not authenticated
 */
record PeerServerContext(
        PeerSettings.Limits limits,
        ThriftCodec codec,
        Sealer sealer,
        PeerDispatcher dispatcher,
        ControlByteCounters byteCounters,
        ConnectionLimiter connectionLimiter,
        Counter unauthenticated) {}
