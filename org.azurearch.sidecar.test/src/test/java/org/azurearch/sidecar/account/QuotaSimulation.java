package org.azurearch.sidecar.account;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.azurearch.sidecar.FeatureSettings.QuotaBound;
import org.azurearch.sidecar.internal.quota.CoordinatorChoice;
import org.azurearch.sidecar.member.NodeRecord;
import org.jspecify.annotations.Nullable;

/** Nodes with quotas and a simulated network and clock, in steps of one millisecond. */
final class QuotaSimulation {
    static final QuotaBound BOUND = new QuotaBound(5_000, 0.1, 20);

    /** Longest wait of a request for a token. */
    private static final long MAX_WAIT_MILLIS = 50;

    /** Number of nodes that may coordinate. */
    private static final int CANDIDATES = 6;

    /** Time after the begin of a stop at which a node says that it is leaving. */
    private static final long LEAVE_AFTER_MILLIS = 1_800;

    /** Interval at which a node compares its records with those of another one. */
    private static final long EXCHANGE_MILLIS = 1_000;

    /** A request that waits at a node. */
    private record Waiting(String account, boolean urgent, long untilMillis) {}

    /** A request that will be refused after it took its token. */
    private record Refund(Node node, long epoch, String account, long takenMillis, long atMillis) {}

    /** A node with a coordinator of its own. */
    private final class Node {
        private final String mName;
        private final long mClockOffset;
        private final List<Waiting> mWaiting = new ArrayList<>();
        private final AccountQuota[] mQuotas = new AccountQuota[QuotaPartitions.COUNT];
        private final QuotaCoordinator[] mCoordinators =
                new QuotaCoordinator[QuotaPartitions.COUNT];
        private double mBusyUntil;
        private long mEpoch;
        private long mStartedMillis;
        private boolean mUp = true;
        private long mFrozenUntil;
        private int mCut;
        private long mLeaveMillis = Long.MAX_VALUE;
        private long mEndMillis = Long.MAX_VALUE;
        private long mStartMillis = Long.MAX_VALUE;
        private @Nullable NodeMembers mMembers;
        private boolean mRegistered;
        private CoordinatorChoice mChoice = new CoordinatorChoice();

        Node(int index) {
            mName = String.format("n%03d", index);
            mClockOffset = mRandom.nextLong(1_000_000_000L);
        }

        void start() {
            mUp = true;
            mWaiting.clear();
            mEpoch = ++mEpochs;
            mStartedMillis = mNow;
            for (int i = 0; i < QuotaPartitions.COUNT; i++) {
                mQuotas[i] = new AccountQuota(mName, mEpoch, BOUND, mRandom.split(), clock());
                mCoordinators[i] = new QuotaCoordinator(mName, mEpoch, BOUND, clock());
            }
            mLeaveMillis = Long.MAX_VALUE;
            mEndMillis = Long.MAX_VALUE;
            mStartMillis = Long.MAX_VALUE;
            update();
            if (mTracksMembers) {
                mMembers = new NodeMembers(mName, mEpoch, clock());
                mRegistered = false;
                mChoice = new CoordinatorChoice();
                register(this);
            }
        }

        void update() {
            for (int i = 0; i < QuotaPartitions.COUNT; i++) {
                mQuotas[i].update(mAccounts.get(i));
                mCoordinators[i].update(mAccounts.get(i), clock());
            }
        }

        AccountQuota quota(String account) {
            return mQuotas[QuotaPartitions.of(account)];
        }

        long clock() {
            return mNow + mClockOffset;
        }

        boolean running() {
            return mUp && mNow >= mFrozenUntil;
        }
    }

    private final SplittableRandom mRandom;
    private final List<Node> mNodes = new ArrayList<>();
    private final List<Node> mFirst = new ArrayList<>();
    private final Map<String, Integer> mIndex = new HashMap<>();
    private final PriorityQueue<Delivery> mNetwork = new PriorityQueue<>();
    private final RunTimes mRan = new RunTimes();
    private final Map<String, NodeRecord> mStored = new HashMap<>();
    private boolean mTracksMembers;
    private List<AccountDirectory> mAccounts;
    private long mNow;
    private long mOrder;
    private long mEpochs;
    private long mFrames;
    private long mRefused;
    private double mLoss;
    private double mRepeat;
    private long mMaxDelay = 2;
    private double mRefunds;
    private double mMessageMillis;
    private int mUrgentRan;
    private int mMissing;
    private final List<Refund> mOpenRefunds = new ArrayList<>();

    QuotaSimulation(int nodes, List<ClientAccount> accounts, long seed) {
        mRandom = new SplittableRandom(seed);
        mAccounts = QuotaPartitions.divide(new AccountDirectory(accounts));
        for (int i = 0; i < nodes; i++) {
            addNode();
        }
    }

    long now() {
        return mNow;
    }

    /** Returns the number of messages that passed between two nodes. */
    long frames() {
        return mFrames;
    }

    long refused() {
        return mRefused;
    }

    void faults(double loss, double repeat, long maxDelay) {
        mLoss = loss;
        mRepeat = repeat;
        mMaxDelay = maxDelay;
    }

    /** Lets a part of the requests give their token back shortly after they took it. */
    void refunds(double part) {
        mRefunds = part;
    }

    /** Sets how long the processor of a node takes for a message that it sends or receives. */
    void messageMillis(double millis) {
        mMessageMillis = millis;
    }

    /** Lets nodes know up to so many nodes less than there are. */
    void missingMembers(int most) {
        mMissing = most;
    }

    /** Lets each node learn of the others from their records, as they start and leave. */
    void trackMembers() {
        mTracksMembers = true;
        mNodes.forEach(Node::start);
    }

    /** Adds a node that the others do not know, and that may precede them as a coordinator. */
    void add(boolean preferred) {
        Node node = addNode();
        if (preferred) {
            mFirst.add(0, node);
        }
    }

    private Node addNode() {
        Node node = new Node(mNodes.size());
        mIndex.put(node.mName, mNodes.size());
        mNodes.add(node);
        node.start();
        return node;
    }

    /** Stops a node, which goes on for a while, and starts it again some time after its end. */
    void stop(int index, long runMillis, long startMillis) {
        Node node = mNodes.get(index);
        if (node.mUp && node.mEndMillis == Long.MAX_VALUE) {
            node.mLeaveMillis = mNow + LEAVE_AFTER_MILLIS;
            node.mEndMillis = mNow + runMillis;
            node.mStartMillis = node.mEndMillis + startMillis;
        }
    }

    /** Returns the number of nodes, running or not. */
    int nodes() {
        return mNodes.size();
    }

    boolean up(int node) {
        return mNodes.get(node).mUp;
    }

    void kill(int node) {
        mNodes.get(node).mUp = false;
    }

    void restart(int node) {
        mNodes.get(node).start();
    }

    void freeze(int node, long millis) {
        mNodes.get(node).mFrozenUntil = mNow + millis;
    }

    /** Freezes the node that the first node prefers as the coordinator of an account. */
    void freezeCoordinator(String account, long millis) {
        List<String> preferred = preferred(mNodes.get(0));
        String node = preferred.isEmpty() ? "" : preferred.get(QuotaPartitions.of(account));
        if (!node.isEmpty()) {
            freeze(mIndex.get(node), millis);
        }
    }

    /** Puts a node on a side of a cut; nodes reach only those on their side. */
    void cut(int node, int side) {
        mNodes.get(node).mCut = side;
    }

    void update(List<ClientAccount> accounts) {
        mAccounts = QuotaPartitions.divide(new AccountDirectory(accounts));
        mNodes.forEach(Node::update);
    }

    /** A request of an account arrives at a node. */
    void request(int index, String account) {
        request(index, account, true);
    }

    /** A request of the most urgent rank, or another one, arrives at a node. */
    void request(int index, String account, boolean urgent) {
        Node node = mNodes.get(index);
        if (!node.running()) {
            return;
        }
        decide(
                node,
                new Waiting(account, urgent, mNow + MAX_WAIT_MILLIS),
                node.quota(account).acquire(account, urgent, node.clock()));
    }

    /** Moves the time on by one millisecond. */
    void step() {
        mNow++;
        while (!mNetwork.isEmpty() && mNetwork.peek().atMillis() <= mNow) {
            deliver(mNetwork.poll());
        }
        mOpenRefunds.stream().filter(refund -> refund.atMillis() == mNow).forEach(this::refund);
        mOpenRefunds.removeIf(refund -> refund.atMillis() <= mNow);
        for (Node node : mNodes) {
            proceedStop(node);
            if (node.running()) {
                tick(node);
            }
        }
    }

    private void proceedStop(Node node) {
        if (mNow >= node.mEndMillis && node.mUp) {
            node.mUp = false;
        }
        if (mNow >= node.mStartMillis && !node.mUp) {
            node.start();
        }
        NodeMembers members = node.mMembers;
        if (mNow >= node.mLeaveMillis && node.running() && members != null) {
            node.mLeaveMillis = Long.MAX_VALUE;
            members.leave(node.clock());
            broadcast(node, members.self());
        }
    }

    /** Writes the record of a node that starts to the store, reads the others and publishes it. */
    private void register(Node node) {
        NodeMembers members = node.mMembers;
        if (members == null) {
            return;
        }
        if (node.mCut == 0) {
            node.mRegistered = true;
            mStored.values().forEach(record -> members.merge(record, node.clock()));
            mStored.put(node.mName, members.self());
        }
        broadcast(node, members.self());
    }

    private void broadcast(Node node, NodeRecord record) {
        int from = mIndex.get(node.mName);
        for (int to = 0; to < mNodes.size(); to++) {
            if (to != from) {
                send(from, to, 0, record);
            }
        }
    }

    /** Sends all records to another node, as their digests differ. */
    private void exchange(Node node, NodeMembers members) {
        int to = mRandom.nextInt(mNodes.size());
        if (!mNodes.get(to).mName.equals(node.mName)) {
            members.records().forEach(record -> send(mIndex.get(node.mName), to, 0, record));
        }
    }

    private int holders(Node node) {
        NodeMembers members = node.mMembers;
        if (members == null) {
            int missing = mMissing == 0 ? 0 : mIndex.get(node.mName) % (mMissing + 1);
            return mNodes.size() - missing;
        }
        if (!node.mRegistered && node.mCut == 0) {
            register(node);
        }
        boolean reached =
                mNodes.stream()
                        .anyMatch(other -> other != node && other.mUp && other.mCut == node.mCut);
        return members.holders(node.mRegistered, reached, node.clock());
    }

    /** Returns how many requests of an account ran. */
    int ran(String account) {
        return mRan.count(account);
    }

    /** Returns how many requests of the most urgent rank ran. */
    int urgentRan() {
        return mUrgentRan;
    }

    /** Returns the largest number of requests of an account that ran within a window. */
    int mostInWindow(String account) {
        return mRan.mostInWindow(account, BOUND.windowMillis());
    }

    private void tick(Node node) {
        if (mNow % 20 == mIndex.get(node.mName) % 20) {
            int holders = holders(node);
            List<String> preferred = preferred(node);
            for (int i = 0; i < QuotaPartitions.COUNT; i++) {
                String coordinator = preferred.isEmpty() ? "" : preferred.get(i);
                node.mQuotas[i].observeMembers(coordinator, holders);
            }
        }
        if (node.mMembers != null
                && mNow % EXCHANGE_MILLIS == mIndex.get(node.mName) * 7L % EXCHANGE_MILLIS) {
            exchange(node, node.mMembers);
        }
        for (int i = 0; i < QuotaPartitions.COUNT; i++) {
            poll(node, i);
        }
        List<Waiting> waiting = new ArrayList<>(node.mWaiting);
        for (Waiting request : waiting) {
            if (request.untilMillis() <= mNow) {
                node.mWaiting.remove(request);
                mRefused++;
            }
        }
    }

    private void poll(Node node, int partition) {
        Map<String, AccountQuota.Waiting> waiting = new HashMap<>();
        for (Waiting request : node.mWaiting) {
            if (QuotaPartitions.of(request.account()) == partition) {
                AccountQuota.Waiting.add(waiting, request.account(), request.urgent());
            }
        }
        QuotaAsk ask = node.mQuotas[partition].poll(waiting, node.clock());
        String to = node.mQuotas[partition].coordinator();
        if (ask != null && to != null) {
            send(mIndex.get(node.mName), mIndex.get(to), partition, ask);
        }
    }

    /** The coordinators among the first nodes in the order of names that this node reaches. */
    private List<String> preferred(Node node) {
        Map<String, Long> starts = new LinkedHashMap<>();
        Stream.concat(mFirst.stream(), mNodes.stream())
                .filter(other -> usable(node, other))
                .forEach(other -> starts.put(other.mName, other.mStartedMillis));
        if (!mTracksMembers) {
            List<String> first = starts.keySet().stream().limit(CANDIDATES).toList();
            return first.isEmpty() ? List.of() : QuotaPartitions.assign(first);
        }
        List<String> current = new ArrayList<>();
        for (AccountQuota quota : node.mQuotas) {
            current.add(quota.coordinator() == null ? "" : quota.coordinator());
        }
        return node.mChoice.choose(
                CoordinatorChoice.candidates(starts, CANDIDATES, mNow),
                current,
                name -> mIndex.containsKey(name) && usable(node, mNodes.get(mIndex.get(name))),
                node.clock());
    }

    private boolean usable(Node node, Node other) {
        boolean leaving = node.mMembers != null && node.mMembers.leaving(other.mName);
        return other.mUp && other.mCut == node.mCut && !leaving;
    }

    private void send(int from, int to, int partition, Object message) {
        if (from != to) {
            mFrames++;
            mNodes.get(from).mBusyUntil += mMessageMillis;
            if (mNodes.get(from).mCut != mNodes.get(to).mCut || mRandom.nextDouble() < mLoss) {
                return;
            }
        }
        int copies = from != to && mRandom.nextDouble() < mRepeat ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            long delay = from == to ? 0 : 1 + mRandom.nextLong(mMaxDelay);
            mNetwork.add(new Delivery(mNow + delay, mOrder++, from, to, partition, message));
        }
    }

    private void deliver(Delivery delivery) {
        Node node = mNodes.get(delivery.to());
        if (!node.mUp) {
            return;
        }
        int partition = delivery.partition();
        if (!node.running() || node.mBusyUntil >= mNow + 1) {
            mNetwork.add(delivery.at(Math.max(node.mFrozenUntil, (long) node.mBusyUntil)));
            return;
        }
        if (delivery.from() != delivery.to()) {
            node.mBusyUntil = Math.max(node.mBusyUntil, mNow) + mMessageMillis;
        }
        if (delivery.message() instanceof NodeRecord record) {
            if (node.mMembers != null) {
                node.mMembers.merge(record, node.clock());
            }
        } else if (delivery.message() instanceof QuotaAsk ask) {
            QuotaReply reply = node.mCoordinators[partition].receive(ask, node.clock());
            if (reply != null) {
                send(delivery.to(), delivery.from(), partition, reply);
            }
        } else if (node.mQuotas[partition].receive((QuotaReply) delivery.message(), node.clock())) {
            serveWaiting(node, partition);
        }
    }

    private void run(Node node, Waiting request) {
        String account = request.account();
        mUrgentRan += request.urgent() ? 1 : 0;
        if (mRandom.nextDouble() < mRefunds) {
            long at = mNow + mRandom.nextLong(200);
            mOpenRefunds.add(new Refund(node, node.mEpoch, account, node.clock(), at));
        } else {
            mRan.add(account, mNow);
        }
    }

    private void refund(Refund refund) {
        Node node = refund.node();
        if (node.running() && node.mEpoch == refund.epoch()) {
            node.quota(refund.account())
                    .refund(refund.account(), refund.takenMillis(), node.clock());
        }
    }

    private void serveWaiting(Node node, int partition) {
        List<Waiting> waiting = new ArrayList<>(node.mWaiting);
        waiting.removeIf(request -> QuotaPartitions.of(request.account()) != partition);
        node.mWaiting.removeAll(waiting);
        waiting.sort(Comparator.comparing(Waiting::urgent, Comparator.reverseOrder()));
        for (Waiting request : waiting) {
            AccountQuota quota = node.mQuotas[partition];
            decide(node, request, quota.retry(request.account(), request.urgent(), node.clock()));
        }
        node.mQuotas[partition].settle();
    }

    private void decide(Node node, Waiting request, AccountQuota.Decision decision) {
        switch (decision) {
            case RUN -> run(node, request);
            case WAIT, UNKNOWN -> node.mWaiting.add(request);
            default -> mRefused++;
        }
    }
}
