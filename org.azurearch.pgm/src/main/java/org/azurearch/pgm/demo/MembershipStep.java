package org.azurearch.pgm.demo;

import java.time.Duration;
import org.azurearch.admin.EndpointsReport;

/** Waits until every node sees every backend server as ready. */
final class MembershipStep implements DemoStep {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final String READY = "ready";

    @Override
    public String title() {
        return "every node sees every backend server as ready";
    }

    @Override
    public StepResult run(DemoContext context) {
        DemoMesh mesh = context.mesh();
        Duration elapsed = new Waiting().awaitCondition(TIMEOUT, () -> everyNodeSeesAllReady(mesh));
        String detail =
                mesh.vms().size()
                        + " nodes and backend servers, after "
                        + elapsed.toMillis()
                        + " ms";
        return StepResult.of(title(), !elapsed.isNegative(), detail);
    }

    private static boolean everyNodeSeesAllReady(DemoMesh mesh) {
        return mesh.vms().stream()
                .allMatch(vm -> readyEndpointCount(mesh, vm) == mesh.vms().size());
    }

    private static long readyEndpointCount(DemoMesh mesh, DemoVm vm) {
        return mesh.client(vm).get("/v1/endpoints", EndpointsReport.class).endpoints().stream()
                .filter(endpoint -> endpoint.state().equals(READY))
                .count();
    }
}
