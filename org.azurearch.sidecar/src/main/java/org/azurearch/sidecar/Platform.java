package org.azurearch.sidecar;

import io.netty.channel.EventLoop;
import org.azurearch.sidecar.config.ConfigCodec;
import org.azurearch.sidecar.store.KeyedLog;

/** What differs between platforms: how they name things and how they keep records. */
public interface Platform {
    /** Returns the names of headers and paths. */
    Dialect dialect();

    /** Returns the reader of configurations. */
    ConfigCodec configCodec();

    /** Returns the reader of what backend servers say of themselves. */
    HeartbeatCodec heartbeatCodec();

    /**
     * Opens the platform's keyed log.
     *
     * @param loop the event loop on which futures complete
     */
    KeyedLog openLog(EventLoop loop);
}
