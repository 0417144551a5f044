package org.azurearch.pgm.demo;

import java.time.Duration;
import java.util.Set;
import java.util.stream.Collectors;
import org.azurearch.admin.MembersCommand;
import org.azurearch.lib.NetAddress;

/**
 * Checks that calls of every class succeed through every node. It first waits until every node has
 * the call addresses of all nodes.
 */
final class CallsStep implements DemoStep {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final int MIN_ANSWERED_CALLS = 300;

    @Override
    public String title() {
        return "calls of each class through every node";
    }

    @Override
    public StepResult run(DemoContext context) {
        DemoMesh mesh = context.mesh();
        Duration addressesElapsed =
                new Waiting().awaitCondition(TIMEOUT, () -> everyNodeHasCallAddresses(mesh));
        CallLoad load = context.load();
        Set<String> callClasses =
                mesh.plan().calls().stream().map(CallSample::callClass).collect(Collectors.toSet());
        Duration callsElapsed =
                new Waiting()
                        .awaitCondition(
                                TIMEOUT,
                                () ->
                                        load.answeredCount() >= MIN_ANSWERED_CALLS
                                                && load.answeredCountByClass()
                                                        .keySet()
                                                        .containsAll(callClasses));
        boolean kept =
                !addressesElapsed.isNegative()
                        && !callsElapsed.isNegative()
                        && load.failedCount() == 0
                        && load.mixedAnswerCount() == 0;
        return StepResult.of(
                title(),
                kept,
                load.answeredCountByClass() + ", failed " + load.failureCountByKind());
    }

    private static boolean everyNodeHasCallAddresses(DemoMesh mesh) {
        return mesh.vms().stream().allMatch(vm -> hasEveryCallAddress(mesh, vm));
    }

    private static boolean hasEveryCallAddress(DemoMesh mesh, DemoVm vm) {
        return new MembersCommand(mesh.client(vm))
                .call().members().stream()
                        .noneMatch(member -> NetAddress.fromString(member.calls()).port() == 0);
    }
}
