package org.azurearch.standin.proxy;

import java.time.Duration;

/**
 * What the proxy does to the bytes of one direction of a connection.
 *
 * @param action the action
 * @param afterBytes how many bytes pass before the action begins
 * @param delay how long bytes are held back, for {@link Action#DELAY}
 */
public record ProxyRule(Action action, long afterBytes, Duration delay) {
    /** Bytes pass unchanged. */
    public static final ProxyRule PASS = new ProxyRule(Action.PASS, 0, Duration.ZERO);

    /** Bytes go to the caller of the connection accepted next to this one. */
    public static final ProxyRule CROSS = new ProxyRule(Action.CROSS, 0, Duration.ZERO);

    /** What is done to bytes. */
    public enum Action {
        /** They pass. */
        PASS,
        /** They pass later. */
        DELAY,
        /** They vanish, as does a close; the connection looks alive. */
        DROP,
        /** The connection is closed on both sides instead. */
        CUT,
        /** They are delivered to another caller. */
        CROSS
    }

    /** Returns a rule that holds bytes back. */
    public static ProxyRule delay(Duration delay) {
        return new ProxyRule(Action.DELAY, 0, delay);
    }

    /** Returns a rule that lets some bytes pass and drops the rest. */
    public static ProxyRule dropAfter(long bytes) {
        return new ProxyRule(Action.DROP, bytes, Duration.ZERO);
    }

    /** Returns a rule that lets some bytes pass and closes the connection at the next one. */
    public static ProxyRule cutAfter(long bytes) {
        return new ProxyRule(Action.CUT, bytes, Duration.ZERO);
    }
}
