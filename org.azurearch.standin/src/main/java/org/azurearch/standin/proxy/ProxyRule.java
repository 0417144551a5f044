package org.azurearch.standin.proxy;

import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * What the proxy does with the bytes of one direction of a connection.
 *
 * @param action the action
 * @param afterBytes the number of bytes that pass before a drop or cut
 * @param delay the delay of bytes, for {@link Action#DELAY}
 * @param rate the bandwidth, for {@link Action#RATE}
 */
public record ProxyRule(Action action, long afterBytes, Duration delay, @Nullable SharedRate rate) {
    /** Bytes pass unchanged. */
    public static final ProxyRule PASS = new ProxyRule(Action.PASS, 0, Duration.ZERO, null);

    /** Bytes are delivered to the caller of another connection. */
    public static final ProxyRule CROSS = new ProxyRule(Action.CROSS, 0, Duration.ZERO, null);

    /** What is done with bytes. */
    public enum Action {
        /** They are forwarded unchanged. */
        PASS,
        /** They are forwarded after a delay. */
        DELAY,
        /** They are forwarded at a bandwidth. */
        RATE,
        /** They are dropped, as is a close by the sender; the connection stays open. */
        DROP,
        /** The connection is closed on both sides. */
        CUT,
        /** They are delivered to the caller of another connection. */
        CROSS
    }

    /** Returns a rule that delays bytes. */
    public static ProxyRule delay(Duration delay) {
        return new ProxyRule(Action.DELAY, 0, delay, null);
    }

    /** Returns a rule that limits the bandwidth. */
    public static ProxyRule rate(SharedRate rate) {
        return new ProxyRule(Action.RATE, 0, Duration.ZERO, rate);
    }

    /** Returns a rule that lets some bytes pass and drops the rest. */
    public static ProxyRule dropAfter(long bytes) {
        return new ProxyRule(Action.DROP, bytes, Duration.ZERO, null);
    }

    /** Returns a rule that lets some bytes pass and closes the connection at the next one. */
    public static ProxyRule cutAfter(long bytes) {
        return new ProxyRule(Action.CUT, bytes, Duration.ZERO, null);
    }
}
