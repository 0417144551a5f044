package org.azurearch.standin.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Pairs connections in order of arrival and delivers the answers of one to the other's caller. */
final class CrossedAnswers {
    private final Map<Channel, Channel> mPartners = new HashMap<>();
    private final Map<Channel, List<ByteBuf>> mBuffered = new HashMap<>();
    private @Nullable Channel mUnpaired;

    /** Takes bytes meant for a caller; they are held until it has a partner. */
    synchronized void deliver(Channel caller, ByteBuf chunk) {
        Channel partner = mPartners.get(caller);
        if (partner != null) {
            partner.writeAndFlush(chunk);
            return;
        }
        mBuffered.computeIfAbsent(caller, key -> new ArrayList<>()).add(chunk);
        Channel single = mUnpaired;
        if (single == null || single == caller || !single.isActive()) {
            mUnpaired = caller;
        } else {
            mUnpaired = null;
            pair(single, caller);
        }
    }

    /** Forgets a caller that went away. */
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
        List<ByteBuf> held = mBuffered.getOrDefault(from, List.of());
        mBuffered.remove(from);
        held.forEach(to::writeAndFlush);
    }
}
