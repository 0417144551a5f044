package org.azurearch.pgm.demo;

import java.time.Duration;
import org.azurearch.admin.EndpointsReport;

/** Waits until every node knows every backend server as ready. */
final class MembershipStep implements DemoStep {
    private static final Duration MOST = Duration.ofSeconds(30);
    private static final String READY = "ready";

    @Override
    public String title() {
        return "every node knows every backend server";
    }

    @Override
    public StepResult run(DemoContext context) {
        DemoMesh mesh = context.mesh();
        Duration took = new Waiting().until(MOST, () -> allKnown(mesh));
        String detail =
                mesh.vms().size() + " nodes and backend servers, after " + took.toMillis() + " ms";
        return StepResult.of(title(), !took.isNegative(), detail);
    }

    private static boolean allKnown(DemoMesh mesh) {
        return mesh.vms().stream().allMatch(vm -> readyKnownTo(mesh, vm) == mesh.vms().size());
    }

    private static long readyKnownTo(DemoMesh mesh, DemoVm vm) {
        return mesh.client(vm).get("/v1/endpoints", EndpointsReport.class).endpoints().stream()
                .filter(endpoint -> endpoint.state().equals(READY))
                .count();
    }
}
