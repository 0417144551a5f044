package org.azurearch.internal.transport;

import com.codahale.metrics.Counter;

/**
 * State shared by the connections of a server.
 *
 * @param limits the limits of connections and messages
 * @param codec encodes and decodes messages
 * @param sealer opens requests and seals replies
 * @param dispatcher dispatches requests to handlers
 * @param byteCounters counts bytes by kind of request
 * @param connectionLimiter limits the number of connections
 * @param unauthenticated counts messages that failed authentication
 */
record PeerServerContext(
        PeerSettings.Limits limits,
        ThriftCodec codec,
        Sealer sealer,
        PeerDispatcher dispatcher,
        ControlByteCounters byteCounters,
        ConnectionLimiter connectionLimiter,
        Counter unauthenticated) {}
