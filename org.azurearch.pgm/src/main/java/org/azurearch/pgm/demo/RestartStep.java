package org.azurearch.pgm.demo;

import java.time.Duration;
import java.util.List;
import org.azurearch.admin.ReadinessReport;
import org.azurearch.errors.AzurearchException;
import org.azurearch.lib.NetAddress;

/** Restarts a node under load, after the callers have switched to other nodes. */
final class RestartStep implements DemoStep {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final Duration CALLER_SWITCH_PAUSE = Duration.ofMillis(500);

    @Override
    public String title() {
        return "restart a node under load";
    }

    @Override
    public StepResult run(DemoContext context) {
        DemoMesh mesh = context.mesh();
        CallLoad load = context.load();
        DemoVm vm = mesh.vms().get(1);
        long failedBefore = load.failedCount();
        long offsetBefore = offsetInForce(mesh, vm);
        load.setNodes(callAddressesExcept(mesh, vm));
        new Waiting().pause(CALLER_SWITCH_PAUSE);
        vm.node().stop();
        vm.startNode(mesh.seeds());
        vm.awaitNode();
        Duration elapsed =
                new Waiting()
                        .awaitCondition(TIMEOUT, () -> offsetInForce(mesh, vm) >= offsetBefore);
        load.setNodes(mesh.callAddresses());
        long failed = load.failedCount() - failedBefore;
        boolean kept = !elapsed.isNegative() && failed == 0;
        String detail =
                "offset "
                        + offsetBefore
                        + " before, in force again "
                        + elapsed.toMillis()
                        + " ms after the start, calls failed meanwhile: "
                        + (failed == 0 ? "none" : load.failureCountByKind());
        return StepResult.of(title(), kept, detail);
    }

    private static long offsetInForce(DemoMesh mesh, DemoVm vm) {
        try {
            return mesh.client(vm).get("/v1/readiness", ReadinessReport.class).offset();
        } catch (AzurearchException e) {
            return -1;
        }
    }

    private static List<NetAddress> callAddressesExcept(DemoMesh mesh, DemoVm vm) {
        return mesh.vms().stream()
                .filter(other -> other != vm)
                .map(other -> other.addresses().calls())
                .toList();
    }
}
