package org.azurearch.internal.transport;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.azurearch.lib.NetAddress;
import org.azurearch.settings.SettingsSection;

/**
 * The settings section {@code peers}.
 *
 * @param listen the address that the node listens on for peers
 * @param advertise the IP address that peers connect to
 * @param keys the shared keys in hexadecimal form; requests are sealed with the first and accepted
 *     with any of them
 * @param tls the files of the node's certificate and key, if TLS is used
 * @param limits the limits of connections and messages
 */
public record PeerSettings(
        NetAddress listen,
        String advertise,
        List<String> keys,
        Optional<PeerTlsSettings> tls,
        Limits limits) {

    /** Copies the list. */
    public PeerSettings {
        keys = List.copyOf(keys);
    }

    /**
     * Limits of connections and messages.
     *
     * @param maxConnections the maximum number of inbound connections
     * @param maxConnectionsPerAddress the maximum number of inbound connections from one IP
     *     address; loopback addresses, which many nodes share on a test machine, are exempt
     * @param maxInFlightPerPeer the maximum number of requests in flight to one peer, or from one
     *     connection
     * @param maxMessageBytes the maximum size of a message, in bytes
     * @param ringCapacity the maximum number of requests that wait in each queue of the server
     * @param idleTimeout the time without traffic after which a connection is closed
     * @param authenticationTimeout the maximum time from a new connection to its first valid
     *     request
     * @param connectTimeout the maximum time to establish a connection
     */
    public record Limits(
            int maxConnections,
            int maxConnectionsPerAddress,
            int maxInFlightPerPeer,
            int maxMessageBytes,
            int ringCapacity,
            Duration idleTimeout,
            Duration authenticationTimeout,
            Duration connectTimeout) {
        private static final int DEFAULT_MAX_CONNECTIONS = 4_096;
        private static final int DEFAULT_MAX_CONNECTIONS_PER_ADDRESS = 16;
        private static final int DEFAULT_MAX_IN_FLIGHT_PER_PEER = 64;
        private static final int DEFAULT_MAX_MESSAGE_BYTES = 4 * 1_024 * 1_024;
        private static final int DEFAULT_RING_CAPACITY = 256;
        private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(30);
        private static final Duration DEFAULT_AUTHENTICATION_TIMEOUT = Duration.ofSeconds(5);
        private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofSeconds(2);

        /**
         * Returns the time without traffic after which the server closes a connection. It is longer
         * than that of the client, so that the server does not close a connection that the client
         * is about to use.
         */
        public Duration serverIdleTimeout() {
            return idleTimeout.multipliedBy(2);
        }

        /** Reads the section {@code peers.limits}. */
        public static Limits from(SettingsSection section) {
            return new Limits(
                    section.integer("connections", DEFAULT_MAX_CONNECTIONS),
                    section.integer("connectionsPerAddress", DEFAULT_MAX_CONNECTIONS_PER_ADDRESS),
                    section.integer("inFlightPerPeer", DEFAULT_MAX_IN_FLIGHT_PER_PEER),
                    section.integer("messageBytes", DEFAULT_MAX_MESSAGE_BYTES),
                    section.integer("ringCapacity", DEFAULT_RING_CAPACITY),
                    section.duration("idle", DEFAULT_IDLE_TIMEOUT),
                    section.duration("authentication", DEFAULT_AUTHENTICATION_TIMEOUT),
                    section.duration("connect", DEFAULT_CONNECT_TIMEOUT));
        }
    }

    /** Reads the section {@code peers}. */
    public static PeerSettings from(SettingsSection root) {
        SettingsSection section = root.section("peers");
        NetAddress listen = NetAddress.fromString(section.string("listen"));
        List<String> keys = new ArrayList<>();
        section.optionalString("key").ifPresent(keys::add);
        keys.addAll(section.strings("acceptKeys"));
        return new PeerSettings(
                listen,
                section.string("advertise", listen.host()),
                keys,
                PeerTlsSettings.from(section.section("tls")),
                Limits.from(section.section("limits")));
    }
}
