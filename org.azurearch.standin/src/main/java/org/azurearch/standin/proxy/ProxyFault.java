package org.azurearch.standin.proxy;

import java.time.Duration;

/**
 * A fault of a connection through the proxy.
 *
 * @param request the rule for bytes from the caller to the target
 * @param answer the rule for bytes from the target to the caller
 */
public record ProxyFault(ProxyRule request, ProxyRule answer) {
    /** No fault. */
    public static final ProxyFault NONE = new ProxyFault(ProxyRule.PASS, ProxyRule.PASS);

    /** Both directions drop all bytes, and neither side sees a close of the other. */
    public static final ProxyFault HALF_OPEN =
            new ProxyFault(ProxyRule.dropAfter(0), ProxyRule.dropAfter(0));

    /** Requests reach the target, but the connection is closed at the first byte of an answer. */
    public static final ProxyFault CUT_ANSWER =
            new ProxyFault(ProxyRule.PASS, ProxyRule.cutAfter(0));

    /** Requests reach the target; answers are dropped while the connection stays open. */
    public static final ProxyFault DROP_ANSWERS =
            new ProxyFault(ProxyRule.PASS, ProxyRule.dropAfter(0));

    /** Requests are dropped while the connection stays open. */
    public static final ProxyFault DROP_REQUESTS =
            new ProxyFault(ProxyRule.dropAfter(0), ProxyRule.PASS);

    /** The connection is closed at the first byte of a request. */
    public static final ProxyFault CUT_REQUEST =
            new ProxyFault(ProxyRule.cutAfter(0), ProxyRule.PASS);

    /** Answers are exchanged with those of another connection. */
    public static final ProxyFault CROSSED = new ProxyFault(ProxyRule.PASS, ProxyRule.CROSS);

    /** Returns a fault that delays both directions. */
    public static ProxyFault delay(Duration delay) {
        return new ProxyFault(ProxyRule.delay(delay), ProxyRule.delay(delay));
    }

    /** Returns a fault that limits the bandwidth of answers. */
    public static ProxyFault answersAt(SharedRate rate) {
        return new ProxyFault(ProxyRule.PASS, ProxyRule.rate(rate));
    }

    /** Returns a fault that closes the connection after the given number of request bytes. */
    public static ProxyFault cutRequestAfter(long bytes) {
        return new ProxyFault(ProxyRule.cutAfter(bytes), ProxyRule.PASS);
    }

    /** Returns a fault that closes the connection after the given number of answer bytes. */
    public static ProxyFault cutAnswerAfter(long bytes) {
        return new ProxyFault(ProxyRule.PASS, ProxyRule.cutAfter(bytes));
    }
}
