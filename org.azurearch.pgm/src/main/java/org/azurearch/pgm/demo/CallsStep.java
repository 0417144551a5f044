package org.azurearch.pgm.demo;

import java.time.Duration;
import java.util.Set;
import java.util.stream.Collectors;
import org.azurearch.admin.MembersCommand;
import org.azurearch.lib.NetAddress;

/** Waits until calls of every class have been answered, through every node. */
final class CallsStep implements DemoStep {
    private static final Duration MOST = Duration.ofSeconds(20);
    private static final int CALLS = 300;

    @Override
    public String title() {
        return "calls of each class through every node";
    }

    @Override
    public StepResult run(DemoContext context) {
        DemoMesh mesh = context.mesh();
        Duration joined = new Waiting().until(MOST, () -> everyNodeTakesCalls(mesh));
        CallLoad load = context.load();
        Set<String> wanted =
                mesh.plan().calls().stream().map(CallSample::callClass).collect(Collectors.toSet());
        Duration took =
                new Waiting()
                        .until(
                                MOST,
                                () ->
                                        load.answered() >= CALLS
                                                && load.answeredByClass()
                                                        .keySet()
                                                        .containsAll(wanted));
        boolean kept =
                !joined.isNegative()
                        && !took.isNegative()
                        && load.failed() == 0
                        && load.mixed() == 0;
        return StepResult.of(title(), kept, load.answeredByClass() + ", failed " + load.failures());
    }

    private static boolean everyNodeTakesCalls(DemoMesh mesh) {
        return mesh.vms().stream().allMatch(vm -> knowsEveryCallsAddress(mesh, vm));
    }

    private static boolean knowsEveryCallsAddress(DemoMesh mesh, DemoVm vm) {
        return new MembersCommand(mesh.client(vm))
                .call().members().stream()
                        .noneMatch(member -> NetAddress.fromString(member.calls()).port() == 0);
    }
}
