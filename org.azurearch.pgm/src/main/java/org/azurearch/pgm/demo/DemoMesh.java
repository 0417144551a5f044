package org.azurearch.pgm.demo;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.azurearch.admin.AdminClient;
import org.azurearch.lib.Digest;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.ProgressMonitor;

/** All processes of the demonstration: the log, and a node and a backend server for each VM. */
final class DemoMesh implements AutoCloseable {
    private static final int KEY_BYTES = 32;
    private static final int LOG_HEAP_MEBIBYTES = 96;
    private static final String ANY_PORT = "127.0.0.1:0";

    private final FirmPlan mPlan;
    private final String mToken = randomHex();
    private final ChildProcess mLog;
    private final List<DemoVm> mVms = new ArrayList<>();

    /**
     * Starts all processes.
     *
     * @param plan the firm
     * @param folder the folder for settings and logs
     * @param monitor updated after each start of a process
     */
    DemoMesh(FirmPlan plan, Path folder, ProgressMonitor monitor) {
        mPlan = plan;
        List<FirmPlan.VmPlan> vms = plan.vms();
        monitor.begin("starting", 1 + 2 * vms.size());
        mLog =
                ChildProcess.start(
                        "log",
                        LOG_HEAP_MEBIBYTES,
                        folder.resolve("log.log"),
                        List.of("log", "--listen", ANY_PORT));
        try {
            List<String> ready = mLog.awaitReady();
            monitor.update(1);
            NetAddress log = NetAddress.fromString(ready.get(ready.size() - 1));
            Digest tokenHash = Digest.of(mToken.getBytes(StandardCharsets.UTF_8));
            NodeSettingsText settings =
                    new NodeSettingsText(plan, log, randomHex(), tokenHash.name());
            vms.forEach(vm -> mVms.add(new DemoVm(plan, vm, settings, folder)));
            startNodes(monitor);
            startBackends(monitor);
        } catch (RuntimeException e) {
            close();
            throw e;
        }
        monitor.end();
    }

    /** Returns the firm. */
    FirmPlan plan() {
        return mPlan;
    }

    /** Returns the operator's token. */
    String token() {
        return mToken;
    }

    /** Returns the VMs. */
    List<DemoVm> vms() {
        return List.copyOf(mVms);
    }

    /** Returns the addresses on which the nodes accept calls. */
    List<NetAddress> callAddresses() {
        return mVms.stream().map(vm -> vm.addresses().calls()).toList();
    }

    /** Returns an administration client for one node. */
    AdminClient client(DemoVm vm) {
        return new AdminClient(List.of(vm.addresses().admin()), mToken, null);
    }

    /** Returns the addresses of the peers that a starting node contacts first. */
    List<NetAddress> seeds() {
        return List.of(mVms.get(0).addresses().peer());
    }

    @Override
    public void close() {
        mVms.forEach(DemoVm::close);
        mLog.close();
    }

    private void startNodes(ProgressMonitor monitor) {
        DemoVm first = mVms.get(0);
        first.startNode(List.of());
        first.awaitNode();
        monitor.update(1);
        List<DemoVm> others = mVms.subList(1, mVms.size());
        others.forEach(vm -> vm.startNode(seeds()));
        for (DemoVm vm : others) {
            vm.awaitNode();
            monitor.update(1);
        }
    }

    private void startBackends(ProgressMonitor monitor) {
        mVms.forEach(DemoVm::startBackend);
        for (DemoVm vm : mVms) {
            vm.awaitBackend();
            monitor.update(1);
        }
    }

    private static String randomHex() {
        byte[] bytes = new byte[KEY_BYTES];
        new SecureRandom().nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }
}
