package org.azurearch.internal.call;

import io.netty.channel.Channel;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** What has to happen on a new connection before it carries calls. */
interface ConnectionSetup {
    /** Time to open a connection, in milliseconds. */
    int CONNECT_TIMEOUT_MILLIS = 1_000;

    /** Nothing has to happen. */
    ConnectionSetup PLAIN = new ConnectionSetup() {};

    /** Returns the time to open a connection, in milliseconds. */
    default int connectTimeoutMillis() {
        return CONNECT_TIMEOUT_MILLIS;
    }

    /** Adds what encrypts the connection, before the codec is added. */
    default void addTlsHandler(Channel channel) {}

    /**
     * Prepares the connection.
     *
     * @param done is called on the event loop with null, or with the reason of the failure
     */
    default void prepare(Channel channel, Consumer<@Nullable String> done) {
        done.accept(null);
    }
}
