package org.azurearch.internal.call;

import io.netty.channel.Channel;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** Sets up a new connection before it carries calls. */
interface ConnectionSetup {
    /** Default connect timeout, in milliseconds. */
    int CONNECT_TIMEOUT_MILLIS = 1_000;

    /** Setup without TLS and without a handshake. */
    ConnectionSetup PLAIN = new ConnectionSetup() {};

    /** Returns the connect timeout, in milliseconds. */
    default int connectTimeoutMillis() {
        return CONNECT_TIMEOUT_MILLIS;
    }

    /** Adds the TLS handler, if any; called before the codec is added. */
    default void addTlsHandler(Channel channel) {}

    /**
     * Completes the setup of a connected channel, such as a handshake.
     *
     * @param done called on the event loop with null on success, or with the reason for the failure
     */
    default void prepare(Channel channel, Consumer<@Nullable String> done) {
        done.accept(null);
    }
}
