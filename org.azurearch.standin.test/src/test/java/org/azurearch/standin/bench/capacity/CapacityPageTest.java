package org.azurearch.standin.bench.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.azurearch.standin.bench.ExperimentRecord;
import org.azurearch.standin.bench.Figure;
import org.azurearch.standin.bench.RecordFiles;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CapacityPageTest {
    private static final Path DOCS = Path.of("..", "docs");

    @Test
    void committedPageMatchesRecords() throws Exception {
        String expected = CapacityPage.of(new Measurements(DOCS.resolve("measurements")));
        assertEquals(expected, Files.readString(DOCS.resolve("CAPACITY.md")));
    }

    @Test
    void ratesFollowFromTargetSize() {
        TargetSize size = TargetSize.TARGET;
        assertEquals(300.0, size.nodesPerDataCentre());
        assertEquals(236.36, size.callsPerNode(), 0.01);
        assertEquals(0.05093, size.changesPerSecond(), 0.00001);
    }

    @Test
    void needsFollowFromFigures(@TempDir Path directory) {
        write(directory, "state", List.of(new Figure("state.rss", 300, "MiB")));
        write(
                directory,
                "convergence",
                List.of(
                        new Figure("convergence.steady-bytes-by-nodes.intercept", 200, "B/s"),
                        new Figure("convergence.steady-bytes-by-nodes.slope", 0.5, "B/s"),
                        new Figure("convergence.66nodes.change.bytes", 10_000, "B")));
        CapacityModel model = new CapacityModel(TargetSize.TARGET, new Measurements(directory));
        double bytes = find(model, "control, bytes, quiet").value().orElseThrow();
        assertEquals(200 + 0.5 * 3_300 + 10_000 * 4_400 / 86_400.0, bytes, 1e-6);
        assertTrue(find(model, "whole process, RSS").markdown().contains("**short by 44 MiB**"));
        assertTrue(find(model, "calls, processor").markdown().contains("not measured"));
    }

    private static CapacityRow find(CapacityModel model, String need) {
        return model.roles().stream()
                .filter(row -> row.need().equals(need))
                .findFirst()
                .orElseThrow();
    }

    private static void write(Path directory, String name, List<Figure> figures) {
        RecordFiles.write(
                directory,
                name,
                new ExperimentRecord(
                        name,
                        "2026-01-01T00:00:00Z",
                        1.0,
                        "abc",
                        new ExperimentRecord.Machine(2, 100, "17"),
                        Map.of(),
                        figures,
                        List.of()));
    }
}
