package org.azurearch.sidecar.internal;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;

/** Measures what was written to a connection and waits for room in the buffer of its socket. */
public final class UnsentBytes {
    private UnsentBytes() {}

    /** Returns the bytes that were written to a channel and not sent yet; 0 if it is closed. */
    public static long of(Channel channel) {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }
}
