package org.azurearch.sidecar.account;

import java.util.List;

/**
 * A client account of the configuration.
 *
 * @param name the name, unique in a configuration
 * @param keys the keys that identify its requests; secret
 * @param rank the rank of its requests, which takes precedence over that of their routes; among
 *     accounts of one rank the routes decide; {@link #ROUTE_RANK} if it has none
 * @param ratePerSecond the requests a second that it may send to all nodes together; 0 for no limit
 * @param burst the requests that it may send beyond its rate at once
 */
public record ClientAccount(
        String name, List<String> keys, int rank, double ratePerSecond, double burst) {
    /** The rank of an account whose requests have the rank of their route. */
    public static final int ROUTE_RANK = -1;

    /** Checks the rate and the burst, and copies the keys. */
    public ClientAccount {
        if (!(ratePerSecond >= 0) || !(burst >= 0)) {
            throw new IllegalArgumentException(
                    "client account " + name + " has a negative rate or burst");
        }
        keys = List.copyOf(keys);
    }

    /** Returns whether its requests are limited. */
    public boolean limited() {
        return ratePerSecond > 0;
    }

    /** Returns a description without the keys, which must not reach a log. */
    @Override
    public String toString() {
        return "ClientAccount[" + name + ", keys=" + keys.size() + "]";
    }
}
