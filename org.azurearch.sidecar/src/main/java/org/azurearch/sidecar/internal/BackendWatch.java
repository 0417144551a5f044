package org.azurearch.sidecar.internal;

import io.netty.handler.codec.http.HttpResponseStatus;
import org.azurearch.events.EventLog;
import org.azurearch.sidecar.HeartbeatCodec;
import org.azurearch.sidecar.SidecarEvent;
import org.azurearch.sidecar.SidecarSettings;
import org.azurearch.sidecar.config.RoutingConfig;
import org.azurearch.sidecar.config.ServiceRule;
import org.azurearch.sidecar.internal.backend.BackendDesk;
import org.azurearch.sidecar.internal.mesh.ConfigKeeper;
import org.azurearch.sidecar.internal.mesh.MeshService;
import org.azurearch.sidecar.member.BackendRecord;
import org.azurearch.sidecar.member.BackendTracker;
import org.azurearch.sidecar.member.Heartbeat;
import org.azurearch.sidecar.member.NodeRecord;
import org.jspecify.annotations.Nullable;

/**
 * Takes the heartbeats of the backend server behind this node and tells the desk and the other
 * nodes what changes. Confined to one event loop.
 */
public final class BackendWatch implements BackendDesk.Watcher {
    private final SidecarSettings mSettings;
    private final HeartbeatCodec mCodec;
    private final ConfigKeeper mConfigs;
    private final BackendTracker mTracker = new BackendTracker();
    private @Nullable BackendDesk mDesk;
    private @Nullable MeshService mMesh;
    private @Nullable NodeRecord mRemembered;
    private String mProbed = "";
    private String mKept = "";

    /**
     * Creates a watch that has heard nothing.
     *
     * @param settings the settings of this node
     * @param codec reads heartbeats
     * @param configs names the services that there are
     */
    public BackendWatch(SidecarSettings settings, HeartbeatCodec codec, ConfigKeeper configs) {
        mSettings = settings;
        mCodec = codec;
        mConfigs = configs;
    }

    /** Sets who is told. */
    public void bind(BackendDesk desk, MeshService mesh) {
        mDesk = desk;
        mMesh = mesh;
        mConfigs.subscribe(config -> probe());
    }

    /** Says whether the last backend server has left and none has come since. */
    public boolean departed() {
        return mTracker.gone();
    }

    /**
     * Takes what an earlier run of this node knew of its backend server. If that one took requests
     * and shows to be still there and healthy, requests go to it before its next heartbeat. One
     * that had said that it leaves is not asked.
     */
    public void remembered(NodeRecord earlier) {
        if (mRemembered == null || earlier.newerThan(mRemembered)) {
            mRemembered = earlier;
            probe();
        }
    }

    /** Answers a heartbeat; the success is the acknowledgement. */
    public PlainHttpServer.Reply handle(PlainHttpServer.Request request) {
        HeartbeatCodec.Message message;
        try {
            message = mCodec.read(request.method(), request.path(), request.body());
        } catch (RuntimeException e) {
            EventLog.log(SidecarEvent.BACKEND_REPORT_IGNORED, request.path(), "-", e.toString());
            return PlainHttpServer.Reply.of(HttpResponseStatus.BAD_REQUEST.code());
        }
        if (message == null) {
            return PlainHttpServer.Reply.of(HttpResponseStatus.NOT_FOUND.code());
        }
        Heartbeat report = message.heartbeat();
        if (report == null) {
            changed(departed(message), "departed");
        } else if (!plausible(report)) {
            return PlainHttpServer.Reply.of(HttpResponseStatus.BAD_REQUEST.code());
        } else {
            BackendTracker.Change change = mTracker.onHeartbeat(report);
            if (change == BackendTracker.Change.STALE) {
                EventLog.log(
                        SidecarEvent.BACKEND_REPORT_IGNORED,
                        report.instance(),
                        report.sequence(),
                        "outdated");
            }
            changed(change, report.leaving() ? "leaving" : "heartbeat");
        }
        return PlainHttpServer.Reply.of(HttpResponseStatus.OK.code());
    }

    @Override
    public void unreachable() {
        changed(mTracker.onUnreachable(), "unreachable");
    }

    @Override
    public void replaced() {
        changed(mTracker.onUnreachable(), "replaced");
    }

    private BackendTracker.Change departed(HeartbeatCodec.Message message) {
        return mTracker.onDeparture(
                message.instance(), message.startedMillis(), System.currentTimeMillis());
    }

    private void probe() {
        BackendDesk desk = mDesk;
        RoutingConfig config = mConfigs.current();
        BackendRecord backend = usableMemory();
        if (desk == null || config == null || backend == null) {
            return;
        }
        ServiceRule service = config.services().get(backend.service());
        if (service == null || backend.instance().equals(mProbed)) {
            return;
        }
        mProbed = backend.instance();
        desk.probe(mSettings.backend(), service.healthPath(), this::probed);
    }

    private void probed(@Nullable String instance) {
        BackendRecord backend = usableMemory();
        if (backend != null && backend.instance().equals(instance)) {
            Heartbeat assumed = Heartbeat.assumed(backend, mSettings.backend());
            changed(mTracker.assume(assumed), "remembered");
        }
    }

    /** Returns the backend server of an earlier run if nothing newer speaks against it. */
    private @Nullable BackendRecord usableMemory() {
        NodeRecord remembered = mRemembered;
        BackendRecord backend = remembered == null ? null : remembered.backend();
        boolean usable =
                backend != null
                        && backend.ready()
                        && backend.service().equals(mSettings.service())
                        && mTracker.current() == null;
        return usable ? backend : null;
    }

    /** Heartbeats may come from another writer: they name no backend server to use. */
    private boolean plausible(Heartbeat report) {
        RoutingConfig config = mConfigs.current();
        boolean known =
                report.service().equals(mSettings.service())
                        || (config != null && config.services().containsKey(report.service()));
        boolean here = report.address().equals(mSettings.backend());
        if (!known || !here) {
            EventLog.log(
                    SidecarEvent.BACKEND_REPORT_IGNORED,
                    report.instance(),
                    report.sequence(),
                    "service " + report.service() + " at " + report.address());
        }
        return known && here;
    }

    /** Keeps for the next run which backend server there is and whether it leaves. */
    private void keep(MeshService mesh, @Nullable Heartbeat current) {
        boolean assumed = current != null && current.sequence() == Heartbeat.ASSUMED_SEQUENCE;
        String state = current == null ? "none" : current.instance() + " " + current.leaving();
        if (!assumed && !state.equals(mKept)) {
            mKept = state;
            mesh.keepBackend();
        }
    }

    private void changed(BackendTracker.Change change, String cause) {
        BackendDesk desk = mDesk;
        MeshService mesh = mMesh;
        if (change != BackendTracker.Change.CHANGED || desk == null || mesh == null) {
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
        desk.backend(mTracker.ready() ? current : null);
        mesh.directory().publishBackend(mTracker.record());
        keep(mesh, current);
    }
}
