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
    private final Map<Channel, List<ByteBuf>> mHeld = new HashMap<>();
    private @Nullable Channel mSingle;

    /** Takes bytes meant for a caller; they are held until it has a partner. */
    synchronized void deliver(Channel caller, ByteBuf chunk) {
        Channel partner = mPartners.get(caller);
        if (partner != null) {
            partner.writeAndFlush(chunk);
            return;
        }
        mHeld.computeIfAbsent(caller, key -> new ArrayList<>()).add(chunk);
        Channel single = mSingle;
        if (single == null || single == caller || !single.isActive()) {
            mSingle = caller;
        } else {
            mSingle = null;
            pair(single, caller);
        }
    }

    /** Forgets a caller that went away. */
    synchronized void forget(Channel caller) {
        mPartners.remove(caller);
        mHeld.getOrDefault(caller, List.of()).forEach(ByteBuf::release);
        mHeld.remove(caller);
        if (mSingle == caller) {
            mSingle = null;
        }
    }

    private void pair(Channel first, Channel second) {
        mPartners.put(first, second);
        mPartners.put(second, first);
        release(first, second);
        release(second, first);
    }

    private void release(Channel from, Channel to) {
        List<ByteBuf> held = mHeld.getOrDefault(from, List.of());
        mHeld.remove(from);
        held.forEach(to::writeAndFlush);
    }
}
