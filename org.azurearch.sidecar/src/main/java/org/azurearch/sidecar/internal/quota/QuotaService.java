package org.azurearch.sidecar.internal.quota;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.events.EventLog;
import org.azurearch.lib.Verdict;
import org.azurearch.sidecar.FeatureSettings.QuotaBound;
import org.azurearch.sidecar.SidecarEvent;
import org.azurearch.sidecar.account.AccountDirectory;
import org.azurearch.sidecar.account.AccountQuota;
import org.azurearch.sidecar.account.ClientAccount;
import org.azurearch.sidecar.account.QuotaAsk;
import org.azurearch.sidecar.account.QuotaCoordinator;
import org.azurearch.sidecar.account.QuotaReply;
import org.azurearch.sidecar.call.AttemptFailure;
import org.azurearch.sidecar.config.RoutingConfig;
import org.azurearch.sidecar.internal.hop.HopConnection;
import org.azurearch.thrift.HopFrame;
import org.azurearch.thrift.WireQuotaMessage;
import org.jspecify.annotations.Nullable;

/**
 * Gives requests their tokens: keeps those that wait, and exchanges messages with the coordinator
 * and, as a coordinator, with other nodes. Confined to one event loop.
 */
public final class QuotaService implements QuotaPeer {
    /** Longest wait of a request whose account was scarce lately. */
    private static final long SCARCE_WAIT_MILLIS = 50;

    /**
     * Longest wait of any other request, whose answer is late. A repeated packet on a link between
     * data centres takes about 200 ms.
     */
    private static final long MAX_WAIT_MILLIS = 300;

    /** Retry delay if no coordinator answered: about the rest of a lease. */
    private static final long UNKNOWN_RETRY_MILLIS = 400;

    /** Interval at which waiting requests are checked. */
    private static final long WAIT_TICK_MILLIS = 10;

    /** Interval at which the coordinator is chosen anew. */
    private static final long CHOOSE_MILLIS = 500;

    /** Difference between the clocks that means that the VM was suspended. */
    private static final long SUSPENDED_MILLIS = 500;

    /** What the service needs to know and do in the mesh. */
    public interface Mesh {
        /** Returns the reachable nodes that may coordinate. */
        List<String> coordinators();

        /** Returns the number of nodes, reachable or not; 0 if they are not known yet. */
        int members();

        /** Sends a frame to a node, if it is reachable. */
        void send(String node, HopFrame frame);
    }

    /** Receives the decision about a request. */
    public interface Listener {
        /** The request may run. */
        void allowed();

        /** The request may not run. */
        void refused(AttemptFailure failure);
    }

    private record Waiting(
            ClientAccount account, long sinceMillis, long untilMillis, Listener listener) {}

    private final EventLoop mLoop;
    private final String mNode;
    private final QuotaBound mBound;
    private final Mesh mMesh;
    private final AccountQuota mQuota;
    private final CoordinatorChoice mChoice = new CoordinatorChoice();
    private final LimitedAccounts mLimited;
    private final Counter mAsks;
    private final TokenLedger mLedger;
    private QuotaCoordinator mCoordinator;
    private AccountDirectory mAccounts = AccountDirectory.EMPTY;
    private List<Waiting> mWaiting = new ArrayList<>();
    private String mPreferred = "";
    private String mReported = "";
    private long mChosenMillis;
    private long mClockDifference = clockDifference();
    private boolean mActive;
    private boolean mTickScheduled;

    /**
     * Creates the service without accounts.
     *
     * @param loop the event loop of the node
     * @param node the name of the node
     * @param bound the tolerance of the quotas
     * @param mesh the mesh
     * @param metrics where metrics are registered
     */
    public QuotaService(
            EventLoop loop, String node, QuotaBound bound, Mesh mesh, MetricRegistry metrics) {
        mLoop = loop;
        mNode = node;
        mBound = bound;
        mMesh = mesh;
        long now = nowMillis();
        long epoch = System.currentTimeMillis();
        mQuota = new AccountQuota(node, epoch, bound, new SplittableRandom(), now);
        mCoordinator = new QuotaCoordinator(node, epoch, bound, now);
        mLimited = new LimitedAccounts(metrics);
        mAsks = metrics.counter("quota.messages");
        mLedger = new TokenLedger(metrics);
        metrics.gauge("quota.delegated-to-this-node", () -> (Gauge<Double>) this::fraction);
        metrics.gauge("quota.uses-base-share", () -> (Gauge<Integer>) this::usesBaseShare);
    }

    /** Applies the accounts of a configuration that comes into force. */
    public void update(RoutingConfig config) {
        mAccounts = config.accountDirectory();
        mActive = mAccounts.accounts().stream().anyMatch(ClientAccount::limited);
        mQuota.update(mAccounts);
        mCoordinator.update(mAccounts, nowMillis());
    }

    /** Renews the delegation and reports tokens. */
    @Override
    public void tick() {
        if (!mActive) {
            return;
        }
        long now = nowMillis();
        detectSuspension(now);
        if (now - mChosenMillis >= CHOOSE_MILLIS || mQuota.coordinator() == null) {
            choose(now);
        }
        poll(now);
        reportCoordinator(now);
        mLedger.report(current(), fraction(), mMesh.members(), now);
    }

    /** Ends the delegations to this node, as it is stopping. */
    public void close() {
        mCoordinator.close();
    }

    /**
     * Asks for a token; the listener may be called before this method returns.
     *
     * @param maxWaitMillis the longest wait that the deadline of the request allows
     */
    public void acquire(ClientAccount account, long maxWaitMillis, Listener listener) {
        if (!mActive || !mQuota.limits(account)) {
            listener.allowed();
            return;
        }
        long now = nowMillis();
        AccountQuota.Decision decision = mQuota.acquire(account.name(), now);
        long limit = mQuota.scarceLately(account.name()) ? SCARCE_WAIT_MILLIS : MAX_WAIT_MILLIS;
        long until = now + Math.min(limit, maxWaitMillis);
        decide(new Waiting(account, now, until, listener), decision, now);
        poll(now);
    }

    /** Takes a token that this node holds for a further attempt; returns whether there was one. */
    public boolean tryAcquire(ClientAccount account) {
        return !mActive || !mQuota.limits(account) || mQuota.tryTake(account.name(), nowMillis());
    }

    /**
     * Gives back the token of a request that did not run.
     *
     * @param takenMillis when it took the token, as {@link #nowMillis}
     */
    public void refund(ClientAccount account, long takenMillis) {
        if (mActive) {
            boolean returned = mQuota.refund(account.name(), takenMillis, nowMillis());
            mLedger.count(returned ? TokenLedger.Outcome.RETURNED : TokenLedger.Outcome.UNUSED);
        }
    }

    @Override
    public void received(HopConnection connection, WireQuotaMessage message) {
        try {
            if (message.isSetAsk()) {
                QuotaReply reply = answer(QuotaWire.fromWire(message.getAsk()));
                if (reply != null) {
                    connection.send(QuotaWire.frame(reply));
                }
            } else if (message.isSetReply()) {
                replied(QuotaWire.fromWire(message.getReply()));
            }
        } catch (AzurearchException e) {
            EventLog.log(SidecarEvent.HOP_CONNECTION_FAILED, "peer", e.toString());
        }
    }

    /** Returns the time on the steady clock, in milliseconds. */
    public static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private @Nullable QuotaReply answer(QuotaAsk ask) {
        return mCoordinator.receive(ask, nowMillis());
    }

    private void replied(QuotaReply reply) {
        long now = nowMillis();
        if (mQuota.receive(reply, now)) {
            serveWaiting(now);
            mQuota.settle();
        }
    }

    private void poll(long nowMillis) {
        Map<String, Integer> waiting = mWaiting.isEmpty() ? Map.of() : new HashMap<>();
        for (Waiting request : mWaiting) {
            waiting.merge(request.account().name(), 1, Integer::sum);
        }
        String before = mQuota.coordinator();
        QuotaAsk ask = mQuota.poll(waiting, nowMillis);
        String to = mQuota.coordinator();
        if (before != null && mQuota.silent()) {
            mChoice.silent(before, nowMillis);
            mChosenMillis = 0;
        }
        if (ask == null || to == null) {
            return;
        }
        if (to.equals(mNode)) {
            QuotaReply reply = answer(ask);
            if (reply != null) {
                replied(reply);
            }
        } else {
            mAsks.inc();
            mMesh.send(to, QuotaWire.frame(ask));
        }
    }

    private void serveWaiting(long nowMillis) {
        List<Waiting> waiting = mWaiting;
        mWaiting = new ArrayList<>();
        for (Waiting request : waiting) {
            decide(request, mQuota.retry(request.account().name(), nowMillis), nowMillis);
        }
    }

    private void decide(Waiting request, AccountQuota.Decision decision, long nowMillis) {
        boolean waits =
                decision == AccountQuota.Decision.WAIT || decision == AccountQuota.Decision.UNKNOWN;
        if (decision == AccountQuota.Decision.RUN) {
            mLedger.count(TokenLedger.Outcome.ALLOWED);
            request.listener().allowed();
        } else if (waits && nowMillis < request.untilMillis()) {
            if (nowMillis == request.sinceMillis()) {
                mLedger.count(TokenLedger.Outcome.WAITED);
            }
            mWaiting.add(request);
            scheduleWaitTick();
        } else {
            refuse(request, decision, nowMillis);
        }
    }

    private void refuse(Waiting request, AccountQuota.Decision decision, long nowMillis) {
        ClientAccount account = request.account();
        boolean atLimit =
                decision == AccountQuota.Decision.REFUSE || mQuota.scarceLately(account.name());
        mLedger.count(atLimit ? TokenLedger.Outcome.AT_LIMIT : TokenLedger.Outcome.NO_ANSWER);
        if (!atLimit) {
            request.listener()
                    .refused(
                            new AttemptFailure(
                                    Verdict.NOT_RUN,
                                    ErrorCode.NOT_READY,
                                    false,
                                    UNKNOWN_RETRY_MILLIS,
                                    "no answer about the quota of account " + account.name()));
            return;
        }
        long retryMillis = mQuota.retryAfterMillis(account.name(), nowMillis);
        mLimited.refused(account, mQuota.coordinator(), retryMillis, nowMillis);
        request.listener()
                .refused(
                        new AttemptFailure(
                                Verdict.NOT_RUN,
                                ErrorCode.RATE_LIMITED,
                                false,
                                retryMillis,
                                "account " + account.name() + " is at its limit"));
    }

    private void scheduleWaitTick() {
        if (!mTickScheduled) {
            mTickScheduled = true;
            mLoop.schedule(this::waitTick, WAIT_TICK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void waitTick() {
        mTickScheduled = false;
        if (!mWaiting.isEmpty()) {
            long now = nowMillis();
            serveWaiting(now);
            poll(now);
        }
    }

    private void choose(long nowMillis) {
        mChosenMillis = nowMillis;
        int members = mMesh.members();
        mPreferred = members == 0 ? "" : mChoice.choose(mMesh.coordinators(), current(), nowMillis);
        mQuota.observeMembers(mPreferred, members == 0 ? Integer.MAX_VALUE : members);
    }

    private String current() {
        String coordinator = mQuota.coordinator();
        return coordinator == null ? "" : coordinator;
    }

    /** While a VM is suspended its steady clock may stand still, but leases go on elsewhere. */
    private void detectSuspension(long nowMillis) {
        long difference = clockDifference();
        if (difference - mClockDifference > SUSPENDED_MILLIS) {
            mQuota.paused(nowMillis);
            mCoordinator =
                    new QuotaCoordinator(mNode, System.currentTimeMillis(), mBound, nowMillis);
            mCoordinator.update(mAccounts, nowMillis);
        }
        mClockDifference = difference;
    }

    private void reportCoordinator(long nowMillis) {
        String used = mQuota.usesBaseShare(nowMillis) ? "none" : current();
        if (!used.isEmpty() && !used.equals(mReported)) {
            mReported = used;
            EventLog.log(SidecarEvent.QUOTA_COORDINATOR, used, mMesh.members());
        }
    }

    private static long clockDifference() {
        return System.currentTimeMillis() - nowMillis();
    }

    private double fraction() {
        return mCoordinator.fraction(nowMillis());
    }

    private int usesBaseShare() {
        return mActive && mQuota.usesBaseShare(nowMillis()) ? 1 : 0;
    }
}
