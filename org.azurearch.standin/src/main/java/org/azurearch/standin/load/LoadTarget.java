package org.azurearch.standin.load;

import java.util.List;
import org.azurearch.lib.NetAddress;

/**
 * A target of the load; requests use its addresses in turn.
 *
 * @param name the name in reports
 * @param addresses at least one address
 */
public record LoadTarget(String name, List<NetAddress> addresses) {
    /** Copies the list. */
    public LoadTarget {
        addresses = List.copyOf(addresses);
    }

    /** Returns a target with one address. */
    public static LoadTarget of(String name, NetAddress address) {
        return new LoadTarget(name, List.of(address));
    }
}
