package org.azurearch.internal.call;

import java.time.Duration;
import org.azurearch.lib.NetAddress;
import org.azurearch.settings.SettingsSection;

/**
 * Settings of the data path.
 *
 * @param listen the address of the listener for calls
 * @param advertise the IP address at which peers reach the listener
 * @param threads the number of event loops
 * @param maxConnections the maximum number of connections from callers and peers
 * @param acceptsPerSecond the maximum number of connections accepted per second
 * @param maxBodyBytes the maximum size of a request's body
 * @param maxRequestMemoryBytes the memory that requests may take; 0 for a sixth of the heap
 * @param senderTimeout the longest time without progress while a request is being received
 * @param idleTimeout the longest time that a connection may stay open without a call
 * @param warmUpRounds the rounds of requests sent to this node's listener before it is advertised
 * @param ticketLifetime how long a ticket is valid
 * @param drainLinger how long open connections are still served when draining begins, before idle
 *     ones are closed
 * @param drainTimeout the longest time that a shutdown waits for calls in progress
 */
public record CallSettings(
        NetAddress listen,
        String advertise,
        int threads,
        int maxConnections,
        int acceptsPerSecond,
        long maxBodyBytes,
        long maxRequestMemoryBytes,
        Duration senderTimeout,
        Duration idleTimeout,
        int warmUpRounds,
        Duration ticketLifetime,
        Duration drainLinger,
        Duration drainTimeout) {
    private static final int DEFAULT_THREADS = 2;
    private static final int DEFAULT_MAX_CONNECTIONS = 4_000;
    private static final int DEFAULT_ACCEPTS_PER_SECOND = 1_000;
    private static final int DEFAULT_MAX_BODY_BYTES = 64 * 1024 * 1024;
    private static final Duration DEFAULT_SENDER_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(60);
    private static final int DEFAULT_WARM_UP_ROUNDS = 200;
    private static final Duration DEFAULT_TICKET_LIFETIME = Duration.ofMinutes(10);
    private static final Duration DEFAULT_DRAIN_LINGER = Duration.ofSeconds(1);
    private static final Duration DEFAULT_DRAIN_TIMEOUT = Duration.ofSeconds(30);

    /** Reads the section {@code calls}. */
    public static CallSettings from(SettingsSection root) {
        SettingsSection section = root.section("calls");
        NetAddress listen = NetAddress.fromString(section.string("listen"));
        return new CallSettings(
                listen,
                section.string("advertise", listen.host()),
                section.integer("threads", DEFAULT_THREADS),
                section.integer("maxConnections", DEFAULT_MAX_CONNECTIONS),
                section.integer("acceptsPerSecond", DEFAULT_ACCEPTS_PER_SECOND),
                section.integer("maxBodyBytes", DEFAULT_MAX_BODY_BYTES),
                section.integer("maxRequestMemoryBytes", 0),
                section.duration("senderTimeout", DEFAULT_SENDER_TIMEOUT),
                section.duration("idleTimeout", DEFAULT_IDLE_TIMEOUT),
                section.integer("warmUpRounds", DEFAULT_WARM_UP_ROUNDS),
                section.duration("ticketLifetime", DEFAULT_TICKET_LIFETIME),
                section.duration("drainLinger", DEFAULT_DRAIN_LINGER),
                section.duration("drainTimeout", DEFAULT_DRAIN_TIMEOUT));
    }
}
