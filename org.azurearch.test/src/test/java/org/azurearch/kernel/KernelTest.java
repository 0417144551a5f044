package org.azurearch.kernel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.azurearch.errors.AzurearchException;
import org.junit.jupiter.api.Test;

class KernelTest {
    private final List<String> mTrace = new ArrayList<>();

    @Test
    void pluginsStartAfterTheirRequirementsAndStopInReverse() {
        try (Kernel kernel = new Kernel()) {
            kernel.start(List.of(plugin("a", Set.of("b")), plugin("b", Set.of())));
        }
        assertEquals(List.of("start b", "start a", "stop a", "stop b"), mTrace);
    }

    @Test
    void circularRequirementIsRefused() {
        try (Kernel kernel = new Kernel()) {
            assertThrows(
                    AzurearchException.class,
                    () ->
                            kernel.start(
                                    List.of(plugin("a", Set.of("b")), plugin("b", Set.of("a")))));
        }
    }

    @Test
    void missingServiceIsNamed() {
        try (Kernel kernel = new Kernel()) {
            AzurearchException e =
                    assertThrows(AzurearchException.class, () -> kernel.service(String.class));
            assertEquals("no service: java.lang.String", e.getMessage());
        }
    }

    private Plugin plugin(String name, Set<String> requires) {
        return new Plugin() {
            @Override
            public String name() {
                return name;
            }

            @Override
            public Set<String> requires() {
                return requires;
            }

            @Override
            public void start(Kernel kernel) {
                mTrace.add("start " + name);
            }

            @Override
            public void stop() {
                mTrace.add("stop " + name);
            }
        };
    }
}
