package org.azurearch.sidecar.internal.quota;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.events.EventLog;
import org.azurearch.lib.Verdict;
import org.azurearch.sidecar.FeatureSettings.QuotaBound;
import org.azurearch.sidecar.SidecarEvent;
import org.azurearch.sidecar.account.AccountDirectory;
import org.azurearch.sidecar.account.ClientAccount;
import org.azurearch.sidecar.account.QuotaAsk;
import org.azurearch.sidecar.account.QuotaPartitions;
import org.azurearch.sidecar.account.QuotaReply;
import org.azurearch.sidecar.call.AttemptFailure;
import org.azurearch.sidecar.config.RoutingConfig;
import org.azurearch.sidecar.internal.hop.HopConnection;
import org.azurearch.thrift.HopFrame;
import org.azurearch.thrift.WireQuotaAsk;
import org.azurearch.thrift.WireQuotaMessage;
import org.azurearch.thrift.WireQuotaReply;
import org.jspecify.annotations.Nullable;

/**
 * Gives requests their tokens: exchanges messages with the coordinators of the partitions and, as a
 * coordinator, with other nodes. Confined to one event loop.
 */
public final class QuotaService implements QuotaPeer {
    /** Retry delay if no coordinator answered: about the rest of a lease. */
    private static final long UNKNOWN_RETRY_MILLIS = 400;

    /** Interval at which waiting requests are checked. */
    private static final long WAIT_TICK_MILLIS = 10;

    /** Interval at which the coordinators are chosen anew. */
    private static final long CHOOSE_MILLIS = 500;

    /** Difference between the clocks that means that the VM was suspended. */
    private static final long SUSPENDED_MILLIS = 500;

    private static final String NO_COORDINATOR = "none";

    /** What the service needs to know and do in the mesh. */
    public interface Mesh {
        /** Returns the reachable nodes that may coordinate. */
        List<CoordinatorChoice.Candidate> coordinators();

        /** Returns whether a node is reachable and not leaving, so that it can still coordinate. */
        boolean reachable(String node);

        /** Returns whether enough is known of the nodes to choose coordinators. */
        boolean membersKnown();

        /** Returns the number of nodes that hold a share of the rates; 0 if this one holds none. */
        int shareHolders();

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

    private final EventLoop mLoop;
    private final Mesh mMesh;
    private final List<QuotaPartition> mPartitions = new ArrayList<>();
    private final CoordinatorChoice mChoice = new CoordinatorChoice();
    private final LimitedAccounts mLimited;
    private final Counter mAsks;
    private final TokenLedger mLedger;
    private final String[] mReported = new String[QuotaPartitions.COUNT];
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
        mMesh = mesh;
        long now = nowMillis();
        long epoch = System.currentTimeMillis();
        for (int i = 0; i < QuotaPartitions.COUNT; i++) {
            mPartitions.add(new QuotaPartition(i, node, epoch, bound, new Decisions(), now));
            mReported[i] = "";
        }
        mLimited = new LimitedAccounts(metrics);
        mAsks = metrics.counter("quota.messages");
        mLedger = new TokenLedger(metrics);
        metrics.gauge("quota.delegated-to-this-node", () -> (Gauge<Double>) this::fraction);
        metrics.gauge("quota.uses-base-share", () -> (Gauge<Integer>) this::usesBaseShare);
    }

    /** Applies the accounts of a configuration that comes into force. */
    public void update(RoutingConfig config) {
        AccountDirectory accounts = config.accountDirectory();
        mActive = accounts.accounts().stream().anyMatch(ClientAccount::limited);
        List<AccountDirectory> divided = QuotaPartitions.divide(accounts);
        long now = nowMillis();
        for (int i = 0; i < QuotaPartitions.COUNT; i++) {
            mPartitions.get(i).update(divided.get(i), now);
        }
    }

    /** Renews the delegations and reports tokens. */
    @Override
    public void tick() {
        if (!mActive) {
            return;
        }
        long now = nowMillis();
        detectSuspension(now);
        boolean lacksCoordinator =
                mPartitions.stream().anyMatch(partition -> partition.coordinator().isEmpty());
        if (now - mChosenMillis >= CHOOSE_MILLIS || lacksCoordinator) {
            choose(now);
        }
        mPartitions.forEach(partition -> partition.poll(now));
        reportCoordinators(now);
        mLedger.report(fraction(), mMesh.shareHolders(), now);
    }

    /** Ends the delegations to this node, as it is stopping. */
    public void close() {
        mPartitions.forEach(QuotaPartition::close);
    }

    /**
     * Asks for a token; the listener may be called before this method returns.
     *
     * @param urgent whether the request is of the most urgent rank
     * @param maxWaitMillis the longest wait that the deadline of the request allows
     */
    public void acquire(
            ClientAccount account, boolean urgent, long maxWaitMillis, Listener listener) {
        QuotaPartition partition = partition(account);
        if (mActive && partition.limits(account)) {
            partition.acquire(account, urgent, maxWaitMillis, listener, nowMillis());
        } else {
            listener.allowed();
        }
    }

    /** Takes a token that this node holds for a further attempt; returns whether there was one. */
    public boolean tryAcquire(ClientAccount account) {
        QuotaPartition partition = partition(account);
        return !mActive
                || !partition.limits(account)
                || partition.tryTake(account.name(), nowMillis());
    }

    /**
     * Gives back the token of a request that did not run.
     *
     * @param takenMillis when it took the token, as {@link #nowMillis}
     */
    public void refund(ClientAccount account, long takenMillis) {
        if (mActive) {
            boolean returned = partition(account).refund(account.name(), takenMillis, nowMillis());
            mLedger.count(returned ? TokenLedger.Outcome.RETURNED : TokenLedger.Outcome.UNUSED);
        }
    }

    @Override
    public void received(HopConnection connection, WireQuotaMessage message) {
        try {
            if (message.isSetAsk()) {
                answer(connection, message.getAsk());
            } else if (message.isSetReply()) {
                WireQuotaReply reply = message.getReply();
                partition(reply.getPartition()).replied(QuotaWire.fromWire(reply), nowMillis());
            }
        } catch (AzurearchException e) {
            EventLog.log(SidecarEvent.HOP_CONNECTION_FAILED, "peer", e.toString());
        }
    }

    /** Returns the time on the steady clock, in milliseconds. */
    public static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private void answer(HopConnection connection, WireQuotaAsk ask) {
        int partition = ask.getPartition();
        QuotaReply reply = partition(partition).answer(QuotaWire.fromWire(ask), nowMillis());
        if (reply != null) {
            connection.send(QuotaWire.frame(partition, reply));
        }
    }

    private QuotaPartition partition(ClientAccount account) {
        return mPartitions.get(QuotaPartitions.of(account.name()));
    }

    private QuotaPartition partition(int number) {
        if (number < 0 || number >= QuotaPartitions.COUNT) {
            throw new AzurearchException(ErrorCode.CORRUPT, "no quota partition " + number);
        }
        return mPartitions.get(number);
    }

    private void scheduleWaitTick() {
        if (!mTickScheduled) {
            mTickScheduled = true;
            mLoop.schedule(this::waitTick, WAIT_TICK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void waitTick() {
        mTickScheduled = false;
        long now = nowMillis();
        boolean waits = false;
        for (QuotaPartition partition : mPartitions) {
            if (partition.hasWaiting()) {
                waits |= partition.serveWaiting(now);
                partition.poll(now);
            }
        }
        if (waits) {
            scheduleWaitTick();
        }
    }

    private void choose(long nowMillis) {
        mChosenMillis = nowMillis;
        List<String> current = mPartitions.stream().map(QuotaPartition::coordinator).toList();
        List<String> chosen =
                mMesh.membersKnown()
                        ? mChoice.choose(mMesh.coordinators(), current, mMesh::reachable, nowMillis)
                        : Collections.nCopies(QuotaPartitions.COUNT, "");
        int holders = mMesh.shareHolders();
        for (int i = 0; i < QuotaPartitions.COUNT; i++) {
            mPartitions.get(i).observeMembers(chosen.get(i), holders);
        }
    }

    /** While a VM is suspended its steady clock may stand still, but leases go on elsewhere. */
    private void detectSuspension(long nowMillis) {
        long difference = clockDifference();
        if (difference - mClockDifference > SUSPENDED_MILLIS) {
            long epoch = System.currentTimeMillis();
            mPartitions.forEach(partition -> partition.suspended(epoch, nowMillis));
        }
        mClockDifference = difference;
    }

    private void reportCoordinators(long nowMillis) {
        for (int i = 0; i < QuotaPartitions.COUNT; i++) {
            QuotaPartition partition = mPartitions.get(i);
            String used =
                    partition.usesBaseShare(nowMillis) ? NO_COORDINATOR : partition.coordinator();
            if (!used.isEmpty() && !used.equals(mReported[i])) {
                mReported[i] = used;
                EventLog.log(SidecarEvent.QUOTA_COORDINATOR, i, used, mMesh.shareHolders());
            }
        }
    }

    private static long clockDifference() {
        return System.currentTimeMillis() - nowMillis();
    }

    /** Returns the part of all rates that is delegated to this node, the mean over partitions. */
    private double fraction() {
        long now = nowMillis();
        return mPartitions.stream()
                .mapToDouble(partition -> partition.fraction(now))
                .average()
                .orElse(0);
    }

    private int usesBaseShare() {
        long now = nowMillis();
        return mActive && mPartitions.stream().anyMatch(each -> each.usesBaseShare(now)) ? 1 : 0;
    }

    /** Carries out what the partitions decide. */
    private final class Decisions implements QuotaPartition.Owner {
        @Override
        public void send(int partition, String coordinator, QuotaAsk ask) {
            mAsks.inc();
            mMesh.send(coordinator, QuotaWire.frame(partition, ask));
        }

        @Override
        public void silent(String coordinator) {
            mChoice.silent(coordinator, nowMillis());
            mChosenMillis = 0;
        }

        @Override
        public void allowed(QuotaPartition.Waiting request) {
            mLedger.count(TokenLedger.Outcome.ALLOWED);
            request.listener().allowed();
        }

        @Override
        public void waits(QuotaPartition.Waiting request) {
            mLedger.count(TokenLedger.Outcome.WAITED);
            scheduleWaitTick();
        }

        @Override
        public void refused(QuotaPartition.Waiting request, @Nullable Long retryMillis) {
            ClientAccount account = request.account();
            if (retryMillis == null) {
                mLedger.count(TokenLedger.Outcome.NO_ANSWER);
                refuse(
                        request,
                        ErrorCode.NOT_READY,
                        UNKNOWN_RETRY_MILLIS,
                        "no answer about the quota of account " + account.name());
                return;
            }
            mLedger.count(TokenLedger.Outcome.AT_LIMIT);
            String coordinator = partition(account).coordinator();
            mLimited.refused(
                    account,
                    coordinator.isEmpty() ? null : coordinator,
                    retryMillis,
                    QuotaService.nowMillis());
            refuse(
                    request,
                    ErrorCode.RATE_LIMITED,
                    retryMillis,
                    "account " + account.name() + " is at its limit");
        }

        private static void refuse(
                QuotaPartition.Waiting request, ErrorCode code, long retryMillis, String detail) {
            request.listener()
                    .refused(new AttemptFailure(Verdict.NOT_RUN, code, false, retryMillis, detail));
        }
    }
}
