package org.azurearch.pgm.demo;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.azurearch.lib.NetAddress;
import org.jspecify.annotations.Nullable;

/** A VM of the demonstration: the processes of a node and of the backend server behind it. */
final class DemoVm implements AutoCloseable {
    private static final int NODE_HEAP_MEBIBYTES = 96;
    private static final int BACKEND_HEAP_MEBIBYTES = 48;
    private static final String SERVICE_TIME = "5ms";

    private final FirmPlan mFirm;
    private final FirmPlan.VmPlan mPlan;
    private final NodeSettingsText mSettings;
    private final Path mFolder;
    private NodeAddresses mAddresses = NodeAddresses.ephemeral();
    private @Nullable ChildProcess mNode;
    private @Nullable ChildProcess mBackend;
    private @Nullable NetAddress mBackendAddress;

    DemoVm(FirmPlan firm, FirmPlan.VmPlan plan, NodeSettingsText settings, Path folder) {
        mFirm = firm;
        mPlan = plan;
        mSettings = settings;
        mFolder = folder;
    }

    /** Returns the plan of the VM. */
    FirmPlan.VmPlan plan() {
        return mPlan;
    }

    /** Returns the addresses on which the node listens. */
    NodeAddresses addresses() {
        return mAddresses;
    }

    /** Returns the address on which the backend server listens. */
    NetAddress backendAddress() {
        return java.util.Objects.requireNonNull(mBackendAddress, "not started");
    }

    /** Returns the process of the node. */
    ChildProcess node() {
        return java.util.Objects.requireNonNull(mNode, "not started");
    }

    /** Returns the process of the backend server. */
    ChildProcess backend() {
        return java.util.Objects.requireNonNull(mBackend, "not started");
    }

    /** Starts the process of the node; a restarted one listens on its previous addresses. */
    void startNode(List<NetAddress> seeds) {
        Path file = mFolder.resolve(mPlan.name() + ".yaml");
        try {
            Files.writeString(file, mSettings.text(mPlan, mAddresses, seeds));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        mNode =
                ChildProcess.start(
                        "node " + mPlan.name(),
                        NODE_HEAP_MEBIBYTES,
                        mFolder.resolve(mPlan.name() + ".node.log"),
                        List.of("node", "--settings", file.toString()));
    }

    /** Waits until the node has started. */
    void awaitNode() {
        mAddresses = NodeAddresses.parse(node().awaitReady());
    }

    /** Starts the process of the backend server; the node must have started. */
    void startBackend() {
        FirmPlan.ServicePlan service = mPlan.service();
        mBackend =
                ChildProcess.start(
                        "backend " + mPlan.name(),
                        BACKEND_HEAP_MEBIBYTES,
                        mFolder.resolve(mPlan.name() + ".backend.log"),
                        List.of(
                                "backend",
                                "--node",
                                mAddresses.admin().name(),
                                "--firm",
                                mFirm.firm().name(),
                                "--service",
                                service.id().name(),
                                "--slots",
                                Integer.toString(service.slots()),
                                "--connections",
                                Integer.toString(service.connections()),
                                "--probe-cost",
                                service.probeMillis() + "ms",
                                "--service-time",
                                SERVICE_TIME));
    }

    /** Waits until the backend server has started. */
    void awaitBackend() {
        List<String> words = backend().awaitReady();
        mBackendAddress = NetAddress.fromString(words.get(words.size() - 1));
    }

    @Override
    public void close() {
        if (mBackend != null) {
            mBackend.close();
        }
        if (mNode != null) {
            mNode.close();
        }
    }
}
