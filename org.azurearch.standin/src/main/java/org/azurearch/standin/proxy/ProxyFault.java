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

    /** Both directions drop everything and nobody learns that the other side closed. */
    public static final ProxyFault HALF_OPEN =
            new ProxyFault(ProxyRule.dropAfter(0), ProxyRule.dropAfter(0));

    /** Requests reach the target and the connection closes at the first byte of an answer. */
    public static final ProxyFault CUT_ANSWER =
            new ProxyFault(ProxyRule.PASS, ProxyRule.cutAfter(0));

    /** Requests reach the target and answers vanish while the connection looks alive. */
    public static final ProxyFault DROP_ANSWERS =
            new ProxyFault(ProxyRule.PASS, ProxyRule.dropAfter(0));

    /** Requests vanish while the connection looks alive. */
    public static final ProxyFault DROP_REQUESTS =
            new ProxyFault(ProxyRule.dropAfter(0), ProxyRule.PASS);

    /** The connection closes at the first byte of a request. */
    public static final ProxyFault CUT_REQUEST =
            new ProxyFault(ProxyRule.cutAfter(0), ProxyRule.PASS);

    /** Answers go to the caller of the connection accepted next to this one. */
    public static final ProxyFault CROSSED = new ProxyFault(ProxyRule.PASS, ProxyRule.CROSS);

    /** Returns a fault that delays both directions. */
    public static ProxyFault delay(Duration delay) {
        return new ProxyFault(ProxyRule.delay(delay), ProxyRule.delay(delay));
    }

    /** Returns a fault that closes the connection within a request. */
    public static ProxyFault cutRequestAfter(long bytes) {
        return new ProxyFault(ProxyRule.cutAfter(bytes), ProxyRule.PASS);
    }

    /** Returns a fault that closes the connection within an answer. */
    public static ProxyFault cutAnswerAfter(long bytes) {
        return new ProxyFault(ProxyRule.PASS, ProxyRule.cutAfter(bytes));
    }
}
