package org.azurearch.standin.bench.experiments;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.lib.ProgressMonitor;
import org.azurearch.standin.bench.Experiment;
import org.azurearch.standin.bench.ExperimentOptions;
import org.azurearch.standin.bench.ExperimentResults;

/** Measures the cost of a call through two nodes, and calls under overload and faults. */
public final class CallsExperiment implements Experiment {
    private static final Map<String, Part> PARTS = parts();

    /** A part of the experiment that can be run by itself. */
    interface Part {
        void run(ExperimentOptions options, ExperimentResults results);
    }

    @Override
    public String name() {
        return "calls";
    }

    @Override
    public String summary() {
        return "latency added to a call, goodput under overload, and the count of double runs,"
                + " false refusals and mixed answers under faults";
    }

    @Override
    public void run(ExperimentOptions options, ExperimentResults results, ProgressMonitor monitor) {
        List<String> names =
                List.of(options.string("parts", String.join(",", PARTS.keySet())).split(","));
        monitor.begin("calls", names.size());
        for (String name : names) {
            Part part = PARTS.get(name);
            if (part == null) {
                throw new AzurearchException(
                        ErrorCode.USAGE, "unknown part " + name + "; available: " + PARTS.keySet());
            }
            part.run(options, results);
            monitor.update(1);
        }
        monitor.end();
    }

    private static Map<String, Part> parts() {
        Map<String, Part> parts = new LinkedHashMap<>();
        parts.put("latency", new CallLatency());
        parts.put("overload", new CallOverload());
        parts.put("faults", new CallFaults());
        return parts;
    }
}
