package org.azurearch.pgm.demo;

import java.time.Duration;
import java.util.List;
import org.azurearch.admin.ReadinessReport;
import org.azurearch.errors.AzurearchException;
import org.azurearch.lib.NetAddress;

/** Stops a node by plan and starts it again while calls go on. */
final class RestartStep implements DemoStep {
    private static final Duration MOST = Duration.ofSeconds(30);
    private static final Duration CALLERS_MOVE = Duration.ofMillis(500);

    @Override
    public String title() {
        return "restart a node while calls go on";
    }

    @Override
    public StepResult run(DemoContext context) {
        DemoMesh mesh = context.mesh();
        CallLoad load = context.load();
        DemoVm vm = mesh.vms().get(1);
        long failedBefore = load.failed();
        long before = offset(mesh, vm);
        load.nodes(callsWithout(mesh, vm));
        new Waiting().pause(CALLERS_MOVE);
        vm.node().stop();
        vm.startNode(mesh.seeds());
        vm.awaitNode();
        Duration took = new Waiting().until(MOST, () -> offset(mesh, vm) >= before);
        load.nodes(mesh.callAddresses());
        long failed = load.failed() - failedBefore;
        boolean kept = !took.isNegative() && failed == 0;
        String detail =
                "offset "
                        + before
                        + " before, in force again "
                        + took.toMillis()
                        + " ms after the start, calls failed meanwhile: "
                        + (failed == 0 ? "none" : load.failures());
        return StepResult.of(title(), kept, detail);
    }

    private static long offset(DemoMesh mesh, DemoVm vm) {
        try {
            return mesh.client(vm).get("/v1/readiness", ReadinessReport.class).offset();
        } catch (AzurearchException e) {
            return -1;
        }
    }

    private static List<NetAddress> callsWithout(DemoMesh mesh, DemoVm vm) {
        return mesh.vms().stream()
                .filter(other -> other != vm)
                .map(other -> other.addresses().calls())
                .toList();
    }
}
