package org.azurearch.standin.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Pairs connections in the order of their first answers and delivers the answers of each to the
 * other's caller. Thread-safe.
 */
final class CrossedAnswers {
    private final Map<Channel, Channel> mPartners = new HashMap<>();
    private final Map<Channel, List<ByteBuf>> mBuffered = new HashMap<>();
    private @Nullable Channel mUnpaired;

    /** Delivers bytes meant for a caller to its partner, or buffers them until it has one. */
    synchronized void deliver(Channel caller, ByteBuf chunk) {
        Channel partner = mPartners.get(caller);
        if (partner != null) {
            partner.writeAndFlush(chunk);
            return;
        }
        mBuffered.computeIfAbsent(caller, key -> new ArrayList<>()).add(chunk);
        Channel unpaired = mUnpaired;
        if (unpaired == null || unpaired == caller || !unpaired.isActive()) {
            mUnpaired = caller;
        } else {
            mUnpaired = null;
            pair(unpaired, caller);
        }
    }

    /** Removes a caller that disconnected. */
    synchronized void remove(Channel caller) {
        mPartners.remove(caller);
        mBuffered.getOrDefault(caller, List.of()).forEach(ByteBuf::release);
        mBuffered.remove(caller);
        if (mUnpaired == caller) {
            mUnpaired = null;
        }
    }

    private void pair(Channel first, Channel second) {
        mPartners.put(first, second);
        mPartners.put(second, first);
        flushBuffered(first, second);
        flushBuffered(second, first);
    }

    private void flushBuffered(Channel from, Channel to) {
        List<ByteBuf> buffered = mBuffered.getOrDefault(from, List.of());
        mBuffered.remove(from);
        buffered.forEach(to::writeAndFlush);
    }
}
