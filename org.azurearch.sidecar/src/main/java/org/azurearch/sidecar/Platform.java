package org.azurearch.sidecar;

import io.netty.channel.EventLoop;
import org.azurearch.sidecar.config.ConfigCodec;
import org.azurearch.sidecar.rollout.RolloutCodec;
import org.azurearch.sidecar.store.KeyedLog;

/** The parts of a node that differ between platforms: HTTP names, decoders and the keyed log. */
public interface Platform {
    /** Returns the names of headers and paths. */
    Dialect dialect();

    /** Returns the decoder of configurations. */
    ConfigCodec configCodec();

    /** Returns the decoder of heartbeats. */
    HeartbeatCodec heartbeatCodec();

    /** Returns the formats of roll-out orders and of their status. */
    RolloutCodec rolloutCodec();

    /**
     * Opens the platform's keyed log.
     *
     * @param loop the event loop on which futures complete
     */
    KeyedLog openLog(EventLoop loop);
}
