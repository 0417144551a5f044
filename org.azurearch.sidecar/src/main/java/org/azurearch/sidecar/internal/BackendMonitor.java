package org.azurearch.sidecar.internal;

import io.netty.handler.codec.http.HttpResponseStatus;
import org.azurearch.events.EventLog;
import org.azurearch.sidecar.HeartbeatCodec;
import org.azurearch.sidecar.SidecarEvent;
import org.azurearch.sidecar.SidecarSettings;
import org.azurearch.sidecar.config.RoutingConfig;
import org.azurearch.sidecar.config.ServiceRule;
import org.azurearch.sidecar.internal.backend.BackendDispatcher;
import org.azurearch.sidecar.internal.mesh.ConfigHolder;
import org.azurearch.sidecar.internal.mesh.MeshService;
import org.azurearch.sidecar.member.BackendRecord;
import org.azurearch.sidecar.member.BackendTracker;
import org.azurearch.sidecar.member.Heartbeat;
import org.azurearch.sidecar.member.NodeRecord;
import org.jspecify.annotations.Nullable;

/**
 * Processes the heartbeats of the backend server behind this node and reports changes to the
 * dispatcher and to the peers. Confined to one event loop.
 */
public final class BackendMonitor implements BackendDispatcher.Listener {
    private final SidecarSettings mSettings;
    private final HeartbeatCodec mCodec;
    private final ConfigHolder mConfigs;
    private final BackendTracker mTracker = new BackendTracker();
    private @Nullable BackendDispatcher mDispatcher;
    private @Nullable MeshService mMesh;
    private @Nullable NodeRecord mEarlierRecord;
    private String mProbedInstance = "";
    private String mSavedState = "";

    /**
     * Creates a monitor without a known backend server.
     *
     * @param settings the settings of this node
     * @param codec decodes heartbeats
     * @param configs the configuration in force, which lists the known services
     */
    public BackendMonitor(SidecarSettings settings, HeartbeatCodec codec, ConfigHolder configs) {
        mSettings = settings;
        mCodec = codec;
        mConfigs = configs;
    }

    /** Sets the receivers of changes and subscribes to the configuration. */
    public void attach(BackendDispatcher dispatcher, MeshService mesh) {
        mDispatcher = dispatcher;
        mMesh = mesh;
        mConfigs.subscribe(config -> probe());
    }

    /** Returns whether the last backend server has departed and none has replaced it. */
    public boolean departed() {
        return mTracker.departed();
    }

    /**
     * Restores the backend server that an earlier run of this node recorded. If it was ready and a
     * probe finds the same instance healthy, it gets requests before its next heartbeat. An
     * instance that had announced that it was leaving is not probed, and a late heartbeat of that
     * run does not bring it back.
     */
    public void restore(NodeRecord earlier) {
        BackendRecord backend = earlier.backend();
        if (backend != null && (mEarlierRecord == null || earlier.newerThan(mEarlierRecord))) {
            mEarlierRecord = earlier;
            if (backend.leaving()) {
                applyChange(
                        mTracker.onDeparture(
                                backend.instance(),
                                backend.startedMillis(),
                                System.currentTimeMillis()),
                        "left");
            }
            probe();
        }
    }

    /** Processes a heartbeat; a success status acknowledges it. */
    public PlainHttpServer.Reply handle(PlainHttpServer.Request request) {
        HeartbeatCodec.Message message;
        try {
            message = mCodec.decode(request.method(), request.path(), request.body());
        } catch (RuntimeException e) {
            EventLog.log(SidecarEvent.BACKEND_REPORT_IGNORED, request.path(), "-", e.toString());
            return PlainHttpServer.Reply.of(HttpResponseStatus.BAD_REQUEST.code());
        }
        if (message == null) {
            return PlainHttpServer.Reply.of(HttpResponseStatus.NOT_FOUND.code());
        }
        Heartbeat heartbeat = message.heartbeat();
        if (heartbeat == null) {
            applyChange(recordDeparture(message), "departed");
        } else if (!acceptable(heartbeat)) {
            return PlainHttpServer.Reply.of(HttpResponseStatus.BAD_REQUEST.code());
        } else {
            BackendTracker.Change change = mTracker.onHeartbeat(heartbeat);
            if (change != BackendTracker.Change.STALE && mDispatcher != null) {
                mDispatcher.heartbeatReceived(heartbeat);
            }
            if (change == BackendTracker.Change.STALE) {
                EventLog.log(
                        SidecarEvent.BACKEND_REPORT_IGNORED,
                        heartbeat.instance(),
                        heartbeat.sequence(),
                        "outdated");
            }
            applyChange(change, heartbeat.leaving() ? "leaving" : "heartbeat");
        }
        return PlainHttpServer.Reply.of(HttpResponseStatus.OK.code());
    }

    @Override
    public @Nullable String healthPath(String service) {
        RoutingConfig config = mConfigs.current();
        ServiceRule rule = config == null ? null : config.services().get(service);
        return rule == null ? null : rule.healthPath();
    }

    @Override
    public void unreachable() {
        applyChange(mTracker.onUnreachable(), "unreachable");
    }

    @Override
    public void replaced() {
        applyChange(mTracker.onUnreachable(), "replaced");
    }

    @Override
    public void leavingAnnounced() {
        applyChange(mTracker.onLeavingAnnounced(), "announced");
    }

    @Override
    public void limitNamed(double perSecond) {
        applyChange(mTracker.onLimit(perSecond), "limit");
    }

    private BackendTracker.Change recordDeparture(HeartbeatCodec.Message message) {
        return mTracker.onDeparture(
                message.instance(), message.startedMillis(), System.currentTimeMillis());
    }

    private void probe() {
        BackendDispatcher dispatcher = mDispatcher;
        RoutingConfig config = mConfigs.current();
        BackendRecord backend = restorableBackend();
        if (dispatcher == null || config == null || backend == null) {
            return;
        }
        ServiceRule service = config.services().get(backend.service());
        if (service == null || backend.instance().equals(mProbedInstance)) {
            return;
        }
        mProbedInstance = backend.instance();
        dispatcher.probe(mSettings.backend(), service.healthPath(), this::probeCompleted);
    }

    private void probeCompleted(@Nullable String instance) {
        BackendRecord backend = restorableBackend();
        if (backend != null && backend.instance().equals(instance)) {
            Heartbeat assumed = Heartbeat.assumed(backend, mSettings.backend());
            applyChange(mTracker.assume(assumed, backend.limitPerSecond()), "remembered");
        }
    }

    /** Returns the ready backend server of an earlier run, or null if a newer one is known. */
    private @Nullable BackendRecord restorableBackend() {
        NodeRecord earlier = mEarlierRecord;
        BackendRecord backend = earlier == null ? null : earlier.backend();
        boolean restorable =
                backend != null
                        && backend.ready()
                        && backend.service().equals(mSettings.service())
                        && mTracker.current() == null;
        return restorable ? backend : null;
    }

    /**
     * Returns whether a heartbeat names a known service and this node's backend address. Other
     * processes may send heartbeats too, and must not change the backend server.
     */
    private boolean acceptable(Heartbeat heartbeat) {
        RoutingConfig config = mConfigs.current();
        boolean known =
                heartbeat.service().equals(mSettings.service())
                        || (config != null && config.services().containsKey(heartbeat.service()));
        boolean addressed = heartbeat.address().equals(mSettings.backend());
        if (!known || !addressed) {
            EventLog.log(
                    SidecarEvent.BACKEND_REPORT_IGNORED,
                    heartbeat.instance(),
                    heartbeat.sequence(),
                    "service " + heartbeat.service() + " at " + heartbeat.address());
        }
        return known && addressed;
    }

    /** Saves the backend server and whether it is leaving for the next run of this node. */
    private void saveIfChanged(MeshService mesh, @Nullable Heartbeat current) {
        boolean assumed = current != null && current.sequence() == Heartbeat.ASSUMED_SEQUENCE;
        String state = current == null ? "none" : current.instance() + " " + current.leaving();
        if (!assumed && !state.equals(mSavedState)) {
            mSavedState = state;
            mesh.saveBackend();
        }
    }

    private void applyChange(BackendTracker.Change change, String cause) {
        BackendDispatcher dispatcher = mDispatcher;
        MeshService mesh = mMesh;
        if (change != BackendTracker.Change.CHANGED || dispatcher == null || mesh == null) {
            return;
        }
        Heartbeat current = mTracker.current();
        EventLog.log(
                SidecarEvent.BACKEND_CHANGED,
                current == null ? "none" : current.instance(),
                current == null ? "-" : current.service(),
                mTracker.ready(),
                current == null ? 0 : current.slots(),
                cause);
        dispatcher.updateBackend(mTracker.ready() ? current : null, mTracker.limitPerSecond());
        mesh.directory().publishBackend(mTracker.record());
        saveIfChanged(mesh, current);
    }
}
