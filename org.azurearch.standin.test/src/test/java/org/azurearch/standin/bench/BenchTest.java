package org.azurearch.standin.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.lib.ProgressMonitor;
import org.azurearch.standin.bench.report.SlopeFit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class BenchTest {
    @Test
    void fitsLineWithStandardError() {
        SlopeFit exact = SlopeFit.of(points(1, 3, 2, 5, 3, 7));
        assertEquals(2.0, exact.slope(), 1e-9);
        assertEquals(1.0, exact.intercept(), 1e-9);
        assertEquals(0.0, exact.slopeError(), 1e-9);
        assertTrue(SlopeFit.of(points(1, 3, 2, 6, 3, 7)).slopeError() > 0);
        assertThrows(IllegalArgumentException.class, () -> SlopeFit.of(points(1, 1, 1, 2)));
    }

    @Test
    void recordIsReadBackAsWritten(@TempDir Path directory) throws Exception {
        ExperimentRecord record = record(1.5);
        Path json = RecordFiles.write(directory, "sample", record);
        assertEquals(record, RecordFiles.read(json));
        assertTrue(Files.readString(directory.resolve("sample.md")).contains("| in-force.p50 |"));
        assertTrue(Files.size(directory.resolve("sample-time.png")) > 0);
    }

    @Test
    void comparisonPairsFiguresByName() {
        RecordComparison comparison = new RecordComparison(record(2.0), record(3.0));
        RecordComparison.Pair pair = comparison.pairs().get(0);
        assertEquals("extra", pair.name());
        assertEquals(50.0, pair.changePercent(), 1e-9);
    }

    @Test
    void unreadOptionsAreRejected() {
        ExperimentOptions options = new ExperimentOptions(Map.of("nodes", "3", "knots", "4"));
        assertEquals(3, options.integer("nodes", 1));
        AzurearchException exception =
                assertThrows(AzurearchException.class, options::rejectUnknown);
        assertEquals(ErrorCode.USAGE, exception.code());
        assertTrue(exception.getMessage().contains("knots"));
    }

    @Test
    void convergenceRunsOnTinyMesh() {
        Map<String, String> small =
                Map.of(
                        "policies", "convergence,poll",
                        "nodes", "3",
                        "dataCentres", "2",
                        "services", "3",
                        "changes", "2",
                        "interval", "1ms",
                        "settle", "0ms",
                        "steady", "100ms");
        ExperimentRecord record =
                new ExperimentRegistry()
                        .run("convergence", new ExperimentOptions(small), ProgressMonitor.NONE);
        assertEquals("3", record.settings().get("nodes"));
        assertEquals(6, record.figure("poll.3nodes.in-force.count").orElseThrow().value());
    }

    private static ExperimentRecord record(double extra) {
        ExperimentResults results = new ExperimentResults();
        Histogram histogram = new Histogram(3);
        histogram.recordValue(1_000);
        results.addFigure("extra", extra, "B");
        results.addPercentiles("time", "in-force", histogram, 1e3, "ms");
        return new ExperimentRecord(
                "sample",
                "2026-01-01T00:00:00Z",
                1.0,
                "abc",
                new ExperimentRecord.Machine(2, 100, "17"),
                Map.of("seed", "1"),
                results.figures(),
                results.series());
    }

    private static List<Series.Point> points(double... values) {
        List<Series.Point> points = new ArrayList<>();
        for (int index = 0; index < values.length; index += 2) {
            points.add(new Series.Point(values[index], values[index + 1]));
        }
        return points;
    }
}
