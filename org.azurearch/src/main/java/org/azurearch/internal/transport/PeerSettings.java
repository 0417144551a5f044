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
 * @param listen where the node takes exchanges
 * @param advertise the IP address that other nodes connect to
 * @param keys the shared keys in hexadecimal form; the first seals, all of them open
 * @param tls the files of the node's TLS identity, when TLS is used
 * @param limits the limits of connections and messages
 */
public record PeerSettings(
        NetAddress listen,
        String advertise,
        List<String> keys,
        Optional<PeerTlsSettings> tls,
        Limits limits) {

    /** Takes a copy of the list. */
    public PeerSettings {
        keys = List.copyOf(keys);
    }

    /**
     * Limits of connections and messages.
     *
     * @param connections the most connections taken
     * @param connectionsPerAddress the most connections taken from one IP address; loopback
     *     addresses, which many nodes share on a test machine, are exempt
     * @param inFlightPerPeer the most requests under way to one node or from one connection
     * @param messageBytes the largest message
     * @param ringCapacity the most requests that wait in each ring of the server
     * @param idle after how long without traffic a connection is closed
     * @param authentication how long a new connection may take to its first valid request
     * @param connect how long a connection may take to come up
     */
    public record Limits(
            int connections,
            int connectionsPerAddress,
            int inFlightPerPeer,
            int messageBytes,
            int ringCapacity,
            Duration idle,
            Duration authentication,
            Duration connect) {
        private static final int CONNECTIONS = 4_096;
        private static final int CONNECTIONS_PER_ADDRESS = 16;
        private static final int IN_FLIGHT_PER_PEER = 64;
        private static final int MESSAGE_BYTES = 4 * 1_024 * 1_024;
        private static final int RING_CAPACITY = 256;
        private static final Duration IDLE = Duration.ofSeconds(30);
        private static final Duration AUTHENTICATION = Duration.ofSeconds(5);
        private static final Duration CONNECT = Duration.ofSeconds(2);

        /**
         * Returns after how long without traffic the server closes a connection: later than the
         * client, so that the server does not close one that the client is about to use.
         */
        public Duration serverIdle() {
            return idle.multipliedBy(2);
        }

        /** Reads the limits. */
        public static Limits from(SettingsSection section) {
            return new Limits(
                    section.integer("connections", CONNECTIONS),
                    section.integer("connectionsPerAddress", CONNECTIONS_PER_ADDRESS),
                    section.integer("inFlightPerPeer", IN_FLIGHT_PER_PEER),
                    section.integer("messageBytes", MESSAGE_BYTES),
                    section.integer("ringCapacity", RING_CAPACITY),
                    section.duration("idle", IDLE),
                    section.duration("authentication", AUTHENTICATION),
                    section.duration("connect", CONNECT));
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
