package org.azurearch.sidecar.internal.call;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;
import java.util.function.Consumer;
import org.azurearch.errors.ErrorCode;
import org.azurearch.sidecar.account.AccountDirectory;
import org.azurearch.sidecar.account.ClientAccount;
import org.azurearch.sidecar.call.AttemptFailure;
import org.azurearch.sidecar.config.RouteRule;
import org.azurearch.sidecar.config.RoutingConfig;
import org.azurearch.sidecar.internal.quota.QuotaService;
import org.jspecify.annotations.Nullable;

/**
 * The client account of a call under the configuration with which the call began, and what follows
 * from it: whether the call is allowed, its rank and its headers. Confined to one event loop.
 */
final class CallerAccount {
    private final CallRouter mRouter;
    private final RoutingConfig mConfig;
    private final RouteRule mRoute;
    private final List<String> mKeys;
    private final @Nullable ClientAccount mAccount;
    private long mTokenMillis;

    CallerAccount(CallRouter router, RoutingConfig config, RouteRule route, HttpHeaders received) {
        mRouter = router;
        mConfig = config;
        mRoute = route;
        boolean keyed = !config.accountDirectory().isEmpty();
        mKeys = keyed ? received.getAll(router.dialect().accountKey()) : List.of();
        mAccount = find(config.accountDirectory());
    }

    /** Returns why the call is refused, or null if it is allowed. */
    @Nullable AttemptFailure refusal() {
        boolean allowed =
                mAccount != null || mRoute.publicAccess() || mConfig.accountDirectory().isEmpty();
        if (allowed) {
            return null;
        }
        return mKeys.size() == 1
                ? mRouter.unknown(ErrorCode.UNAUTHENTICATED, "unknown key")
                : AttemptFailure.notSent(
                        ErrorCode.UNAUTHENTICATED, mKeys.isEmpty() ? "no key" : "unknown key");
    }

    /** Returns the account, or null if the call has none. */
    @Nullable ClientAccount account() {
        return mAccount;
    }

    /**
     * Returns the name under which the queues of backend servers share their slots between
     * accounts, or an empty string if the call takes no part in that. A quota already keeps an
     * account to its rate; at twice the usual demand, fair shares between accounts with quotas
     * refused more of the requests that the quotas allow.
     */
    String shareName() {
        boolean limited = mAccount != null && mAccount.limited() && mRouter.quota() != null;
        return mAccount == null || limited ? "" : mAccount.name();
    }

    /** Returns the weight of the account relative to others. */
    double weight() {
        return mConfig.accountDirectory().weight(mAccount);
    }

    /** Returns the route, with the rank that follows from the account and the route. */
    RouteRule route() {
        return mConfig.ranked(mRoute, mAccount);
    }

    /** Returns the headers to forward: without the key, and with the account set by this node. */
    List<String> forwardedHeaders(HttpHeaders received) {
        boolean keyed = !mConfig.accountDirectory().isEmpty();
        List<String> headers = mRouter.forwardedHeaders(received, keyed);
        if (mAccount != null) {
            headers.add(mRouter.dialect().account());
            headers.add(mAccount.name());
        }
        return headers;
    }

    /**
     * Takes a token of the account's quota, perhaps later.
     *
     * @param leftMillis the time left to the deadline
     * @param run runs once there is a token
     * @param refuse receives the reason if there is none
     */
    void acquireToken(long leftMillis, Runnable run, Consumer<AttemptFailure> refuse) {
        QuotaService quota = mRouter.quota();
        if (quota == null || mAccount == null) {
            run.run();
            return;
        }
        quota.acquire(
                mAccount,
                mConfig.mostUrgent(mRoute),
                leftMillis,
                new QuotaService.Listener() {
                    @Override
                    public void allowed() {
                        mTokenMillis = QuotaService.nowMillis();
                        run.run();
                    }

                    @Override
                    public void refused(AttemptFailure failure) {
                        refuse.accept(failure);
                    }
                });
    }

    /** Takes a token for a hedged request; returns whether there is one. */
    boolean tryAcquireToken() {
        QuotaService quota = mRouter.quota();
        return quota == null || mAccount == null || quota.tryAcquire(mAccount);
    }

    /** Gives the token back, as the call did not run. */
    void refundToken() {
        QuotaService quota = mRouter.quota();
        if (quota != null && mAccount != null && mTokenMillis != 0) {
            quota.refund(mAccount, mTokenMillis);
            mTokenMillis = 0;
        }
    }

    /** Returns the HTTP status of a refusal. */
    static int refusalStatus(ErrorCode code) {
        return switch (code) {
            case NO_ROUTE, UNAUTHENTICATED, RATE_LIMITED -> code.httpStatus();
            default -> HttpResponseStatus.SERVICE_UNAVAILABLE.code();
        };
    }

    /** Returns whether the configuration in force no longer has the key for this account. */
    boolean withdrawn() {
        RoutingConfig current = mRouter.config();
        if (mAccount == null || current == null || current == mConfig) {
            return false;
        }
        ClientAccount found = find(current.accountDirectory());
        boolean valid = found != null && found.name().equals(mAccount.name());
        return !valid && !current.accountDirectory().isEmpty();
    }

    /** Returns the refusal of a call whose key is withdrawn before it has run. */
    AttemptFailure withdrawal() {
        String detail = "key withdrawn before a further attempt";
        return mRoute.publicAccess()
                ? AttemptFailure.refused(CallRouter.OUTDATED_RETRY_MILLIS, detail)
                : AttemptFailure.notSent(ErrorCode.UNAUTHENTICATED, detail);
    }

    /** Several keys identify no account, as it would be open which one counts. */
    private @Nullable ClientAccount find(AccountDirectory accounts) {
        return mKeys.size() == 1 ? accounts.findByKey(mKeys.get(0)) : null;
    }
}
