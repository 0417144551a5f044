package org.azurearch.pgm.demo;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.azurearch.admin.AdminClient;
import org.azurearch.admin.ChangeReport;
import org.azurearch.admin.PublishCommand;
import org.azurearch.admin.ReadinessReport;
import org.azurearch.errors.AzurearchException;
import org.azurearch.fold.Document;
import org.azurearch.fold.DocumentName;
import org.azurearch.junit.Await;
import org.azurearch.lib.DataCentreId;
import org.azurearch.lib.Digest;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.NetAddress;
import org.azurearch.lib.RegionId;
import org.azurearch.lib.ServiceId;
import org.azurearch.pgm.demo.FirmPlan.ServicePlan;
import org.azurearch.pgm.demo.FirmPlan.VmPlan;
import org.azurearch.standin.log.LogServer;
import org.azurearch.standin.log.LogServerOptions;
import org.azurearch.standin.proxy.FaultProxy;

/** Nodes as real processes; each data centre reaches the log through a separate proxy. */
final class MeshFixture implements AutoCloseable {
    /** The timeout of each wait. */
    static final Duration TIMEOUT = Duration.ofSeconds(60);

    private static final FirmId FIRM = FirmId.fromString("regie");
    private static final String TOKEN = "token";
    private static final NetAddress ANY_PORT = new NetAddress("127.0.0.1", 0);
    private static final String KEY = "cd".repeat(32);

    private final LogServer mLog = LogServer.start(ANY_PORT, LogServerOptions.DEFAULT);
    private final Map<DataCentreId, FaultProxy> mLogProxies = new HashMap<>();
    private final List<DemoVm> mVms = new ArrayList<>();
    private final Path mFolder;
    private int mPublishCount;

    /** Starts the first node alone, then all others at once. */
    MeshFixture(Path folder, int nodesPerDataCentre, String... dataCentres) {
        mFolder = folder;
        FirmPlan plan = plan(dataCentres);
        for (DataCentreId dataCentre : plan.dataCentres()) {
            FaultProxy logProxy = FaultProxy.start(mLog.address());
            mLogProxies.put(dataCentre, logProxy);
            for (int i = 1; i <= nodesPerDataCentre; i++) {
                VmPlan vm = new VmPlan(dataCentre, plan.services().get(0), dataCentre + "-" + i);
                Digest hash = Digest.of(TOKEN.getBytes(StandardCharsets.UTF_8));
                mVms.add(
                        new DemoVm(
                                plan,
                                vm,
                                new NodeSettingsText(plan, logProxy.address(), KEY, hash.name()),
                                folder));
            }
        }
        start(mVms.subList(0, 1));
        start(mVms.subList(1, mVms.size()));
    }

    /** Returns the log. */
    LogServer log() {
        return mLog;
    }

    /** Returns the proxy between a data centre and the log. */
    FaultProxy logProxy(String dataCentre) {
        return mLogProxies.get(DataCentreId.fromString(dataCentre));
    }

    /** Returns all VMs. */
    List<DemoVm> vms() {
        return List.copyOf(mVms);
    }

    /** Returns the VMs of a data centre. */
    List<DemoVm> vms(String dataCentre) {
        return mVms.stream()
                .filter(vm -> vm.plan().dataCentre().name().equals(dataCentre))
                .collect(Collectors.toList());
    }

    /** Returns the VMs of a data centre whose node is a reader according to its log file. */
    List<DemoVm> readers(String dataCentre) {
        return vms(dataCentre).stream().filter(this::isReader).collect(Collectors.toList());
    }

    /** Starts nodes and waits until they have started. */
    void start(Collection<DemoVm> vms) {
        DemoVm first = mVms.get(0);
        List<NetAddress> seeds =
                first.addresses().peer().port() == 0
                        ? List.of()
                        : List.of(first.addresses().peer());
        vms.forEach(vm -> vm.startNode(seeds));
        vms.forEach(DemoVm::awaitNode);
    }

    /** Kills the processes of nodes. */
    static void kill(Collection<DemoVm> vms) {
        vms.forEach(vm -> vm.node().kill());
    }

    /** Publishes a new base through a node and returns its offset once its outcome is known. */
    long publish(DemoVm through) {
        return publish(through, "");
    }

    /** Does the same for a base with further lines, such as its routes. */
    long publish(DemoVm through, String lines) {
        String text =
                String.join(
                        "\n",
                        "azurearch: 1",
                        "kind: base",
                        "firm: regie",
                        "limits: {callsPerSecond: " + (++mPublishCount) + "}",
                        "classes: {orders: {priority: 0}}",
                        "services: {orders: {slots: 20, connections: 100}}",
                        lines);
        PublishCommand command =
                new PublishCommand(client(through), FIRM)
                        .addDocument(
                                Document.of(
                                        DocumentName.BASE,
                                        "base.yaml",
                                        text.getBytes(StandardCharsets.UTF_8)));
        ChangeReport report = command.call();
        Await.until("decided: " + report, TIMEOUT, () -> status(through, report).outcome() != null);
        return status(through, report).outcome().offset();
    }

    /** Waits until an offset or a later one is in force on all given nodes. */
    static void awaitInForce(Collection<DemoVm> vms, long offset) {
        for (DemoVm vm : vms) {
            Await.until(vm.plan().name() + " holds " + offset, TIMEOUT, () -> offset(vm) >= offset);
        }
    }

    /** Returns the offset in force on a node, or -1 if it has none or does not answer. */
    static long offset(DemoVm vm) {
        try {
            return client(vm).get("/v1/readiness", ReadinessReport.class).offset();
        } catch (AzurearchException e) {
            return -1;
        }
    }

    /** Returns the digest in force on a node. */
    static String digest(DemoVm vm) {
        return client(vm).get("/v1/readiness", ReadinessReport.class).digest();
    }

    @Override
    public void close() {
        mVms.forEach(DemoVm::close);
        mLogProxies.values().forEach(FaultProxy::close);
        mLog.close();
    }

    private boolean isReader(DemoVm vm) {
        try {
            String text = Files.readString(mFolder.resolve(vm.plan().name() + ".node.log"));
            return text.lastIndexOf("READER_STARTED") > text.lastIndexOf("READER_STOPPED");
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private static ChangeReport status(DemoVm vm, ChangeReport report) {
        return client(vm).get("/v1/firms/regie/changes/" + report.change(), ChangeReport.class);
    }

    private static AdminClient client(DemoVm vm) {
        return new AdminClient(List.of(vm.addresses().admin()), TOKEN, null);
    }

    private static FirmPlan plan(String... dataCentres) {
        return new FirmPlan(
                FIRM,
                RegionId.fromString("bretagne"),
                List.of(dataCentres).stream().map(DataCentreId::fromString).toList(),
                List.of(new ServicePlan(ServiceId.fromString("orders"), 0, 20, 100, 0)),
                List.of());
    }
}
