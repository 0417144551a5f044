package org.azurearch.node;

import java.util.concurrent.CountDownLatch;
import org.azurearch.call.CallServer;
import org.azurearch.config.ConfigInForce;
import org.azurearch.events.EventLog;
import org.azurearch.kernel.Kernel;
import org.azurearch.kernel.NodeKernel;
import org.azurearch.lib.NetAddress;
import org.azurearch.member.LocalBackend;
import org.azurearch.member.LocalNode;
import org.azurearch.member.Member;
import org.azurearch.member.MemberView;
import org.azurearch.node.admin.AdminServer;
import org.azurearch.node.admin.AdminSettings;
import org.azurearch.node.admin.TokenStore;
import org.azurearch.settings.SettingsSection;
import org.azurearch.time.SystemTimerService;
import org.azurearch.time.TimerService;

/** A node: kernel, plug-ins and administration API in one process. */
public final class NodeDaemon implements AutoCloseable {
    private final TimerService mTimers = new SystemTimerService();
    private final Kernel mKernel;
    private final AdminServer mAdmin;
    private final CountDownLatch mStopped = new CountDownLatch(1);
    private volatile boolean mClosed;

    /**
     * Starts a node.
     *
     * @param settings the settings, already validated against their schema
     */
    public NodeDaemon(SettingsSection settings) {
        mKernel = startKernel(settings);
        try {
            mAdmin =
                    new AdminServer(
                            AdminSettings.from(settings),
                            TokenStore.from(settings),
                            mKernel,
                            this::notReadyReason);
        } catch (RuntimeException e) {
            mKernel.close();
            mTimers.close();
            throw e;
        }
        mKernel.service(LocalNode.class).setAdminAddress(mAdmin.address());
        Member self = mKernel.service(MemberView.class).self();
        EventLog.log(
                NodeEvent.NODE_STARTED, self.node(), callsAddress(), mAdmin.address(), self.peer());
    }

    /** Returns the address of the administration API. */
    public NetAddress adminAddress() {
        return mAdmin.address();
    }

    /** Returns the address at which the node accepts calls. */
    public NetAddress callsAddress() {
        return mKernel.service(CallServer.class).address();
    }

    /** Returns the kernel. */
    public Kernel kernel() {
        return mKernel;
    }

    /** Waits until the node has been closed. */
    public void awaitStopped() throws InterruptedException {
        mStopped.await();
    }

    /**
     * Shuts the node down: drains the backend server, notifies the peers that this node leaves,
     * lets calls in flight end, then closes everything.
     */
    @Override
    public synchronized void close() {
        if (mClosed) {
            return;
        }
        mClosed = true;
        Object self = mKernel.service(MemberView.class).self().node();
        EventLog.log(NodeEvent.NODE_STOPPING, self);
        mKernel.service(LocalBackend.class).drain();
        mKernel.service(LocalNode.class).leave();
        mAdmin.close();
        mKernel.close();
        mTimers.close();
        EventLog.log(NodeEvent.NODE_STOPPED, self);
        mStopped.countDown();
    }

    private Kernel startKernel(SettingsSection settings) {
        try {
            return NodeKernel.start(settings, mTimers);
        } catch (RuntimeException e) {
            mTimers.close();
            throw e;
        }
    }

    private String notReadyReason() {
        if (mClosed) {
            return "the node is stopping";
        }
        if (mKernel.service(ConfigInForce.class).current() == null) {
            return "the node has no complete accepted configuration yet";
        }
        return "";
    }
}
