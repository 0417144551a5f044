package org.azurearch.sidecar.internal;

import io.netty.handler.codec.http.HttpResponseStatus;
import org.azurearch.events.EventLog;
import org.azurearch.sidecar.BackendReportCodec;
import org.azurearch.sidecar.SidecarEvent;
import org.azurearch.sidecar.SidecarSettings;
import org.azurearch.sidecar.config.RouteSet;
import org.azurearch.sidecar.config.ServiceRule;
import org.azurearch.sidecar.internal.backend.BackendDispatcher;
import org.azurearch.sidecar.internal.mesh.ConfigHolder;
import org.azurearch.sidecar.internal.mesh.MeshService;
import org.azurearch.sidecar.member.BackendRecord;
import org.azurearch.sidecar.member.BackendReport;
import org.azurearch.sidecar.member.BackendTracker;
import org.azurearch.sidecar.member.NodeRecord;
import org.jspecify.annotations.Nullable;

/**
 * Takes the heartbeats of the backend server behind this node and tells the desk and the other
 * nodes what changes. Confined to one event loop.
 */
public final class BackendMonitor implements BackendDispatcher.Listener {
    private final SidecarSettings mSettings;
    private final BackendReportCodec mCodec;
    private final ConfigHolder mConfigs;
    private final BackendTracker mTracker = new BackendTracker();
    private @Nullable BackendDispatcher mDispatcher;
    private @Nullable MeshService mMesh;
    private @Nullable NodeRecord mEarlierRecord;
    private String mProbedInstance = "";
    private String mSavedState = "";

    /**
     * Creates a watch that has heard nothing.
     *
     * @param settings the settings of this node
     * @param codec reads heartbeats
     * @param configs names the services that there are
     */
    public BackendMonitor(
            SidecarSettings settings, BackendReportCodec codec, ConfigHolder configs) {
        mSettings = settings;
        mCodec = codec;
        mConfigs = configs;
    }

    /** Sets who is told. */
    public void attach(BackendDispatcher desk, MeshService mesh) {
        mDispatcher = desk;
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
    public void restore(NodeRecord earlier) {
        if (mEarlierRecord == null || earlier.newerThan(mEarlierRecord)) {
            mEarlierRecord = earlier;
            probe();
        }
    }

    /** Answers a heartbeat; the success is the acknowledgement. */
    public PlainHttpServer.Reply handle(PlainHttpServer.Request request) {
        BackendReportCodec.Message message;
        try {
            message = mCodec.read(request.method(), request.path(), request.body());
        } catch (RuntimeException e) {
            EventLog.log(SidecarEvent.BACKEND_REPORT_IGNORED, request.path(), "-", e.toString());
            return PlainHttpServer.Reply.of(HttpResponseStatus.BAD_REQUEST.code());
        }
        if (message == null) {
            return PlainHttpServer.Reply.of(HttpResponseStatus.NOT_FOUND.code());
        }
        BackendReport report = message.report();
        if (report == null) {
            applyChange(departed(message), "departed");
        } else if (!acceptable(report)) {
            return PlainHttpServer.Reply.of(HttpResponseStatus.BAD_REQUEST.code());
        } else {
            BackendTracker.Change change = mTracker.report(report);
            if (change == BackendTracker.Change.STALE) {
                EventLog.log(
                        SidecarEvent.BACKEND_REPORT_IGNORED,
                        report.instance(),
                        report.sequence(),
                        "outdated");
            }
            applyChange(change, report.leaving() ? "leaving" : "heartbeat");
        }
        return PlainHttpServer.Reply.of(HttpResponseStatus.OK.code());
    }

    @Override
    public void unreachable() {
        applyChange(mTracker.unreachable(), "unreachable");
    }

    @Override
    public void replaced() {
        applyChange(mTracker.unreachable(), "replaced");
    }

    private BackendTracker.Change departed(BackendReportCodec.Message message) {
        return mTracker.departed(
                message.instance(), message.bornMillis(), System.currentTimeMillis());
    }

    private void probe() {
        BackendDispatcher desk = mDispatcher;
        RouteSet config = mConfigs.current();
        BackendRecord backend = restorableBackend();
        if (desk == null || config == null || backend == null) {
            return;
        }
        ServiceRule service = config.services().get(backend.service());
        if (service == null || backend.instance().equals(mProbedInstance)) {
            return;
        }
        mProbedInstance = backend.instance();
        desk.probe(mSettings.backend(), service.healthPath(), this::probeCompleted);
    }

    private void probeCompleted(@Nullable String instance) {
        BackendRecord backend = restorableBackend();
        if (backend != null && backend.instance().equals(instance)) {
            BackendReport assumed = BackendReport.assumed(backend, mSettings.backend());
            applyChange(mTracker.assume(assumed), "remembered");
        }
    }

    /** Returns the backend server of an earlier run if nothing newer speaks against it. */
    private @Nullable BackendRecord restorableBackend() {
        NodeRecord remembered = mEarlierRecord;
        BackendRecord backend = remembered == null ? null : remembered.backend();
        boolean usable =
                backend != null
                        && backend.ready()
                        && backend.service().equals(mSettings.service())
                        && mTracker.current() == null;
        return usable ? backend : null;
    }

    /** Heartbeats may come from another writer: they name no backend server to use. */
    private boolean acceptable(BackendReport report) {
        RouteSet config = mConfigs.current();
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
    private void saveIfChanged(MeshService mesh, @Nullable BackendReport current) {
        boolean assumed = current != null && current.sequence() == BackendReport.ASSUMED;
        String state = current == null ? "none" : current.instance() + " " + current.leaving();
        if (!assumed && !state.equals(mSavedState)) {
            mSavedState = state;
            mesh.saveBackend();
        }
    }

    private void applyChange(BackendTracker.Change change, String cause) {
        BackendDispatcher desk = mDispatcher;
        MeshService mesh = mMesh;
        if (change != BackendTracker.Change.CHANGED || desk == null || mesh == null) {
            return;
        }
        BackendReport current = mTracker.current();
        EventLog.log(
                SidecarEvent.BACKEND_CHANGED,
                current == null ? "none" : current.instance(),
                current == null ? "-" : current.service(),
                mTracker.ready(),
                current == null ? 0 : current.slots(),
                cause);
        desk.updateBackend(mTracker.ready() ? current : null);
        mesh.directory().publishBackend(mTracker.record());
        saveIfChanged(mesh, current);
    }
}
