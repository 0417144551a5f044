package org.azurearch.pgm.demo;

import java.util.List;
import org.azurearch.lib.NetAddress;

/**
 * The addresses on which a node listens.
 *
 * @param calls for calls
 * @param admin for the administration API
 * @param peer for peers
 */
record NodeAddresses(NetAddress calls, NetAddress admin, NetAddress peer) {
    private static final String LOOPBACK = "127.0.0.1";

    /** Returns loopback addresses with ephemeral ports. */
    static NodeAddresses ephemeral() {
        NetAddress any = new NetAddress(LOOPBACK, 0);
        return new NodeAddresses(any, any, any);
    }

    /** Parses the words {@code calls=..., admin=..., peers=...} of a node's ready line. */
    static NodeAddresses parse(List<String> words) {
        return new NodeAddresses(
                parseAddress(words, "calls="),
                parseAddress(words, "admin="),
                parseAddress(words, "peers="));
    }

    private static NetAddress parseAddress(List<String> words, String prefix) {
        return words.stream()
                .filter(word -> word.startsWith(prefix))
                .map(word -> NetAddress.fromString(word.substring(prefix.length())))
                .findFirst()
                .orElseThrow();
    }
}
