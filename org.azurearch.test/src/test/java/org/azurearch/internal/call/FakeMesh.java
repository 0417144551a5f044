package org.azurearch.internal.call;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.azurearch.call.CallServer;
import org.azurearch.config.ClassConfig;
import org.azurearch.config.ConfigInForce;
import org.azurearch.config.FirmLimits;
import org.azurearch.config.MeshConfig;
import org.azurearch.config.PolicyConfig;
import org.azurearch.config.RouteConfig;
import org.azurearch.config.ServiceConfig;
import org.azurearch.config.SiteConfig;
import org.azurearch.kernel.Kernel;
import org.azurearch.kernel.Plugin;
import org.azurearch.lib.ClassId;
import org.azurearch.lib.DataCentreId;
import org.azurearch.lib.Digest;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.NodeId;
import org.azurearch.lib.PolicyId;
import org.azurearch.lib.RegionId;
import org.azurearch.lib.RouteId;
import org.azurearch.lib.ServiceId;
import org.azurearch.lib.SiteId;
import org.azurearch.lib.VersionId;
import org.azurearch.log.LogClient;
import org.azurearch.member.Announcement;
import org.azurearch.member.BackendState;
import org.azurearch.member.Board;
import org.azurearch.member.Endpoint;
import org.azurearch.member.EndpointView;
import org.azurearch.member.LocalBackend;
import org.azurearch.member.LocalNode;
import org.azurearch.member.Member;
import org.azurearch.member.MemberState;
import org.azurearch.member.MemberView;
import org.azurearch.settings.NodeIdentity;
import org.azurearch.settings.SettingsSection;
import org.azurearch.time.SystemTimerService;
import org.azurearch.time.TimerService;

/** Several nodes in this process, with the real data path and fakes of the services it uses. */
final class FakeMesh implements AutoCloseable {
    static final FirmId FIRM = FirmId.fromString("regie");
    static final ServiceId STOCK = ServiceId.fromString("stock");
    private static final RegionId REGION = RegionId.fromString("bretagne");

    final Map<String, Node> mNodes = new HashMap<>();
    final Map<String, Object> mCallSettings = new HashMap<>();
    final FakeLog mLog = new FakeLog();
    private final FakeBoard mBoard = new FakeBoard();
    private final List<Consumer<MeshConfig>> mConfigListeners = new CopyOnWriteArrayList<>();
    private volatile MeshConfig mConfig;
    private volatile List<Endpoint> mEndpoints = List.of();
    private int mQueueLength = 20;
    private int mRetryBudgetPercent = 100;

    FakeMesh() {
        publish();
    }

    FakeMesh queueLength(int length) {
        mQueueLength = length;
        publish();
        return this;
    }

    FakeMesh retryBudgetPercent(int percent) {
        mRetryBudgetPercent = percent;
        publish();
        return this;
    }

    private void publish() {
        ClassId interactive = ClassId.fromString("interactive");
        ClassId orders = ClassId.fromString("orders");
        PolicyId policy = PolicyId.fromString("read");
        SiteId site = SiteId.fromString("rennes");
        SiteConfig config =
                new SiteConfig(
                        new VersionId(FIRM, 1),
                        site,
                        Digest.EMPTY,
                        Map.of(
                                STOCK,
                                new ServiceConfig(
                                        STOCK,
                                        20,
                                        100,
                                        Duration.ZERO,
                                        "/health",
                                        Duration.ofSeconds(2))),
                        Map.of(
                                interactive,
                                new ClassConfig(interactive, 1),
                                orders,
                                new ClassConfig(orders, 0)),
                        Map.of(
                                policy,
                                new PolicyConfig(
                                        policy,
                                        3,
                                        mRetryBudgetPercent,
                                        mQueueLength,
                                        Duration.ofMillis(500))),
                        Map.of(
                                RouteId.fromString("read"),
                                route("read", "/stock", Set.of("GET", "HEAD"), interactive, true),
                                RouteId.fromString("order"),
                                route("order", "/orders", Set.of("POST"), orders, false)),
                        new FirmLimits(0, 1));
        long offset = mConfig == null ? 0 : mConfig.offset() + 1;
        mConfig = new MeshConfig(offset, Digest.EMPTY, site, Map.of(FIRM, config));
        mConfigListeners.forEach(listener -> listener.accept(mConfig));
    }

    private static RouteConfig route(
            String id, String path, Set<String> methods, ClassId callClass, boolean idempotent) {
        return new RouteConfig(
                RouteId.fromString(id),
                "",
                path,
                methods,
                STOCK,
                callClass,
                PolicyId.fromString("read"),
                idempotent,
                Duration.ofSeconds(5));
    }

    Board board() {
        return mBoard;
    }

    /** Starts a node without a backend server. */
    Node start(String name) {
        Node node = new Node(name);
        mNodes.put(name, node);
        return node;
    }

    @Override
    public void close() {
        mNodes.values().forEach(Node::close);
    }

    private synchronized void rebuildEndpoints() {
        List<Endpoint> endpoints = new ArrayList<>();
        mNodes.values().forEach(node -> node.endpoint().ifPresent(endpoints::add));
        mEndpoints = List.copyOf(endpoints);
    }

    /** A node of the mesh. */
    final class Node implements AutoCloseable {
        final NodeId mId;
        final Kernel mKernel = new Kernel();
        final MetricRegistry mMetrics = new MetricRegistry();
        private final List<Consumer<BackendState>> mListeners = new CopyOnWriteArrayList<>();
        private final TimerService mTimers = new SystemTimerService();
        private volatile Announcement mAnnouncement;
        private volatile BackendState mState = BackendState.ABSENT;
        private volatile NetAddress mAddress;
        private volatile NetAddress mAdvertisedAddress;
        private boolean mClosed;

        Node(String name) {
            mId = NodeId.fromString(name);
            Map<String, Object> calls = new HashMap<>(mCallSettings);
            calls.put("listen", "127.0.0.1:0");
            calls.putIfAbsent("warmUpRounds", 0);
            calls.put("senderTimeout", "1s");
            calls.put("drainLinger", "10ms");
            calls.put("drainTimeout", "5s");
            SettingsSection settings =
                    new SettingsSection(
                            "", Map.of("calls", calls, "peers", Map.of("key", "ab".repeat(32))));
            mKernel.register(SettingsSection.class, settings);
            mKernel.register(
                    NodeIdentity.class,
                    new NodeIdentity("mesh", mId, DataCentreId.fromString("rennes"), REGION));
            mKernel.register(TimerService.class, mTimers);
            mKernel.register(MetricRegistry.class, mMetrics);
            mKernel.start(
                    List.of(
                            new DependencyPlugin("spread"),
                            new DependencyPlugin("member"),
                            new CallPlugin()));
        }

        NetAddress address() {
            return mKernel.service(CallServer.class).address();
        }

        /** Drains the backend server without informing the peers. */
        void drainBackendUnannounced() {
            mState = BackendState.DRAINING;
            mListeners.forEach(listener -> listener.accept(mState));
        }

        NetAddress backendAddress() {
            return mAnnouncement == null ? null : mAnnouncement.address();
        }

        /** Sets the address at which peers reach this node, such as that of a proxy. */
        void advertise(NetAddress address) {
            mAdvertisedAddress = address;
            rebuildEndpoints();
        }

        void announceBackend(NetAddress address, int slots) {
            announceBackend(STOCK, address, slots);
        }

        /** Announces a backend server; the peers take it for one of the service stock. */
        void announceBackend(ServiceId service, NetAddress address, int slots) {
            mAnnouncement =
                    new Announcement(
                            FIRM,
                            service,
                            address,
                            BackendState.READY,
                            slots,
                            Duration.ofSeconds(5));
            setBackendState(BackendState.READY);
        }

        void setBackendState(BackendState state) {
            mState = state;
            rebuildEndpoints();
            mListeners.forEach(listener -> listener.accept(state));
        }

        Optional<Endpoint> endpoint() {
            Announcement announcement = mAnnouncement;
            if (announcement == null || mState == BackendState.ABSENT || mClosed) {
                return Optional.empty();
            }
            return Optional.of(
                    new Endpoint(
                            FIRM,
                            STOCK,
                            mId,
                            1,
                            DataCentreId.fromString("rennes"),
                            REGION,
                            mAdvertisedAddress == null ? mAddress : mAdvertisedAddress,
                            mState,
                            announcement.slots(),
                            0));
        }

        @Override
        public void close() {
            if (!mClosed) {
                mClosed = true;
                rebuildEndpoints();
                mKernel.close();
                mTimers.close();
            }
        }

        /** Registers the fake services of a plug-in that the data path depends on. */
        private final class DependencyPlugin implements Plugin {
            private final String mName;

            DependencyPlugin(String name) {
                mName = name;
            }

            @Override
            public String name() {
                return mName;
            }

            @Override
            public void start(Kernel kernel) {
                if (mName.equals("spread")) {
                    kernel.register(ConfigInForce.class, new FakeConfig());
                    kernel.register(LogClient.class, mLog);
                    return;
                }
                kernel.register(EndpointView.class, new FakeEndpoints());
                kernel.register(MemberView.class, new FakeMembers());
                kernel.register(LocalBackend.class, new FakeBackend());
                kernel.register(LocalNode.class, new FakeLocalNode());
                kernel.register(Board.class, mBoard);
            }

            @Override
            public void stop() {}
        }

        private final class FakeMembers implements MemberView {
            @Override
            public Member self() {
                return memberOf(Node.this);
            }

            @Override
            public List<Member> all() {
                return mNodes.values().stream()
                        .map(FakeMesh::memberOf)
                        .sorted((a, b) -> a.node().compareTo(b.node()))
                        .toList();
            }

            @Override
            public List<Member> reachable(DataCentreId dataCentre) {
                return all().stream().filter(Member::reachable).toList();
            }

            @Override
            public List<DataCentreId> dataCentres() {
                return List.of(DataCentreId.fromString("rennes"));
            }

            @Override
            public Optional<Member> member(NodeId node) {
                return all().stream().filter(member -> member.node().equals(node)).findFirst();
            }

            @Override
            public void addListener(Runnable listener) {}
        }

        private final class FakeLocalNode implements LocalNode {
            @Override
            public void setCallsAddress(NetAddress address) {
                mAddress = address;
                rebuildEndpoints();
            }

            @Override
            public void setAdminAddress(NetAddress address) {}

            @Override
            public void leave() {}
        }

        private final class FakeBackend implements LocalBackend {
            @Override
            public void announce(Announcement announcement) {
                mAnnouncement = announcement;
            }

            @Override
            public void withdraw() {
                Node.this.setBackendState(BackendState.ABSENT);
            }

            @Override
            public void drain() {
                Node.this.setBackendState(BackendState.DRAINING);
            }

            @Override
            public Announcement announcement() {
                return mAnnouncement;
            }

            @Override
            public BackendState state() {
                return mState;
            }

            @Override
            public void addListener(Consumer<BackendState> listener) {
                mListeners.add(listener);
            }

            @Override
            public void reportCallOutcome(boolean healthy) {}
        }
    }

    private static Member memberOf(Node node) {
        NetAddress calls =
                node.mAdvertisedAddress == null ? node.mAddress : node.mAdvertisedAddress;
        NetAddress address = calls == null ? new NetAddress("127.0.0.1", 1) : calls;
        return new Member(
                node.mId,
                DataCentreId.fromString("rennes"),
                REGION,
                1,
                1,
                node.mClosed ? MemberState.DEAD : MemberState.ALIVE,
                address,
                address,
                address,
                node.endpoint().stream().toList());
    }

    private final class FakeConfig implements ConfigInForce {
        @Override
        public MeshConfig current() {
            return mConfig;
        }

        @Override
        public void addListener(Consumer<MeshConfig> listener) {
            mConfigListeners.add(listener);
        }
    }

    private final class FakeEndpoints implements EndpointView {
        @Override
        public List<Endpoint> endpoints(FirmId firm, ServiceId service) {
            return mEndpoints;
        }

        @Override
        public List<Endpoint> all() {
            return mEndpoints;
        }

        @Override
        public long generation() {
            return 0;
        }
    }

    private static final class FakeBoard implements Board {
        private final List<Runnable> mListeners = new CopyOnWriteArrayList<>();
        private final Map<String, Entry> mEntries = new HashMap<>();

        @Override
        public void put(String kind, String key, String value, Duration timeToLive) {
            long expires = System.currentTimeMillis() + timeToLive.toMillis();
            synchronized (mEntries) {
                mEntries.put(kind + "/" + key, new Entry(kind, key, value, expires));
            }
            mListeners.forEach(Runnable::run);
        }

        @Override
        public List<Entry> entries(String kind) {
            long now = System.currentTimeMillis();
            synchronized (mEntries) {
                return mEntries.values().stream()
                        .filter(entry -> entry.kind().equals(kind))
                        .filter(entry -> entry.expiresAtMillis() > now)
                        .toList();
            }
        }

        @Override
        public void addListener(Runnable listener) {
            mListeners.add(listener);
        }
    }
}
