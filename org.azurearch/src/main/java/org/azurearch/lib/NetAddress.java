package org.azurearch.lib;

import java.net.InetSocketAddress;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.jspecify.annotations.Nullable;

/**
 * An IP address and a port.
 *
 * @param host the IP address in text form, not a host name
 * @param port the port, 0 to 65535; 0 requests an ephemeral port for a listener
 */
public record NetAddress(String host, int port) {
    private static final int MAX_PORT = 65_535;

    /** Validates the port. */
    public NetAddress {
        if (port < 0 || port > MAX_PORT) {
            throw new AzurearchException(ErrorCode.BAD_NAME, "port out of range: " + port);
        }
    }

    /**
     * Parses {@code host:port}.
     *
     * @throws AzurearchException with {@link ErrorCode#BAD_NAME} if the text is malformed
     */
    public static NetAddress fromString(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new AzurearchException(ErrorCode.BAD_NAME, "expected host:port: " + text);
        }
        try {
            return new NetAddress(
                    text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException e) {
            throw new AzurearchException(ErrorCode.BAD_NAME, "expected host:port: " + text, e);
        }
    }

    /** Returns the socket address. */
    public InetSocketAddress socketAddress() {
        return new InetSocketAddress(host, port);
    }

    /** Returns {@code host:port}. */
    public String name() {
        return host + ":" + port;
    }

    // The methods that a record has by default are generated at run time when they are first
    // called,
    // which takes processor time of each start.
    @Override
    public boolean equals(@Nullable Object other) {
        return other instanceof NetAddress address
                && port == address.port
                && host.equals(address.host);
    }

    @Override
    public int hashCode() {
        return 31 * host.hashCode() + port;
    }

    @Override
    public String toString() {
        return name();
    }
}
