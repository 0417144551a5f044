package org.azurearch.sidecar.config;

import java.util.Collection;
import java.util.List;
import org.azurearch.sidecar.account.ClientAccount;

/**
 * The order of requests by the ranks of their client accounts and routes. The rank of the account
 * takes precedence; among accounts of the same rank, the routes decide, so that a kind of request
 * keeps its urgency where all accounts have one rank. Requests without an account come with the
 * most urgent accounts, as calls of backend servers have none and hold a slot meanwhile. Immutable.
 */
final class RankOrder {
    private final List<Integer> mAccountRanks;
    private final List<Integer> mRouteRanks;

    RankOrder(Collection<ClientAccount> accounts, Collection<Integer> routeRanks) {
        mAccountRanks =
                accounts.stream()
                        .map(ClientAccount::rank)
                        .filter(rank -> rank != ClientAccount.ROUTE_RANK)
                        .distinct()
                        .sorted()
                        .toList();
        mRouteRanks = routeRanks.stream().distinct().sorted().toList();
    }

    /**
     * Returns the rank of a request.
     *
     * @param accountRank the rank of its account, or {@link ClientAccount#ROUTE_RANK}
     * @param routeRank the rank of its route
     */
    int rank(int accountRank, int routeRank) {
        int account = mAccountRanks.indexOf(accountRank);
        int route = mRouteRanks.indexOf(routeRank);
        return account <= 0 || route < 0
                ? routeRank(routeRank, route)
                : account * mRouteRanks.size() + route;
    }

    /** Returns whether no route is of a more urgent rank. */
    boolean mostUrgent(int routeRank) {
        return mRouteRanks.isEmpty() || routeRank <= mRouteRanks.get(0);
    }

    /** Keeps the ranks of routes as they are where accounts add none. */
    private int routeRank(int routeRank, int index) {
        return mAccountRanks.size() > 1 && index >= 0 ? index : routeRank;
    }
}
