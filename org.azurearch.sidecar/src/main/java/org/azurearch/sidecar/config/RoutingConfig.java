package org.azurearch.sidecar.config;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.azurearch.sidecar.account.AccountDirectory;
import org.azurearch.sidecar.account.ClientAccount;
import org.jspecify.annotations.Nullable;

/** A version of the configuration: limits, services, client accounts and routes. Immutable. */
public final class RoutingConfig {
    private final long mVersion;
    private final RequestLimits mLimits;
    private final Map<String, ServiceRule> mServices;
    private final AccountDirectory mAccounts;
    private final RankOrder mRanks;
    private final Map<String, HostRoutes> mByHost = new HashMap<>();

    /**
     * Creates a version.
     *
     * @param version the version; a higher one replaces a lower one
     * @param limits the limits on requests
     * @param services the services by name
     * @param rules the routes
     * @param accounts the client accounts; empty if callers need no key
     * @throws IllegalArgumentException if a route names an unknown service, or if two accounts have
     *     the same name or share a key
     */
    public RoutingConfig(
            long version,
            RequestLimits limits,
            Map<String, ServiceRule> services,
            List<RouteRule> rules,
            List<ClientAccount> accounts) {
        mVersion = version;
        mLimits = limits;
        mServices = Map.copyOf(services);
        mAccounts = new AccountDirectory(accounts);
        mRanks = new RankOrder(accounts, rules.stream().map(RouteRule::rank).toList());
        for (RouteRule rule : rules) {
            for (RouteRule.WeightedService part : rule.split()) {
                if (!mServices.containsKey(part.service())) {
                    throw new IllegalArgumentException(
                            "route "
                                    + rule.name()
                                    + " names an unknown service: "
                                    + part.service());
                }
            }
            mByHost.computeIfAbsent(rule.host(), host -> new HostRoutes()).add(rule);
        }
    }

    /** Returns the client accounts; empty if callers need no key. */
    public List<ClientAccount> accounts() {
        return mAccounts.accounts();
    }

    /** Returns the client accounts by key and by name. */
    public AccountDirectory accountDirectory() {
        return mAccounts;
    }

    /**
     * Returns the route of a request with the rank that follows from its client account and itself.
     *
     * @param account the account; null if there is none
     */
    public RouteRule ranked(RouteRule route, @Nullable ClientAccount account) {
        int rank =
                mRanks.rank(
                        account == null ? ClientAccount.ROUTE_RANK : account.rank(), route.rank());
        return rank == route.rank() ? route : route.withRank(rank);
    }

    /** Returns whether no route is of a more urgent rank than a given one. */
    public boolean mostUrgent(RouteRule route) {
        return mRanks.mostUrgent(route.rank());
    }

    /** Returns the version. */
    public long version() {
        return mVersion;
    }

    /** Returns the limits on requests. */
    public RequestLimits limits() {
        return mLimits;
    }

    /** Returns the services by name. */
    public Map<String, ServiceRule> services() {
        return mServices;
    }

    /** Returns the number of routes. */
    public int routeCount() {
        return mByHost.values().stream().mapToInt(HostRoutes::size).sum();
    }

    /**
     * Returns the route of a host with the longest prefix of the path, or null if none matches.
     *
     * @param host the value of the Host header
     * @param target the request target; a query is ignored
     */
    public @Nullable RouteRule findRoute(String host, String target) {
        int colon = host.indexOf(':');
        String name = colon < 0 ? host : host.substring(0, colon);
        HostRoutes rules = mByHost.get(name);
        if (rules == null) {
            rules = mByHost.get(name.toLowerCase(Locale.ROOT));
        }
        if (rules == null) {
            return null;
        }
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        return rules.find(path);
    }
}
