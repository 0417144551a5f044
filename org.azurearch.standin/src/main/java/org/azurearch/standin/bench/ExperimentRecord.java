package org.azurearch.standin.bench;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * What a run of an experiment found, and under what conditions.
 *
 * @param experiment the name of the experiment
 * @param startedAt when it began, in ISO-8601
 * @param seconds how long it took
 * @param commit the commit of the repository, with a plus sign when the work tree had changes
 * @param machine the machine
 * @param settings the options by name, with the seed
 * @param figures the figures
 * @param series the series to plot
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record ExperimentRecord(
        String experiment,
        String startedAt,
        double seconds,
        String commit,
        Machine machine,
        Map<String, String> settings,
        List<Figure> figures,
        List<Series> series) {
    /** Takes copies. */
    public ExperimentRecord {
        settings = new TreeMap<>(settings);
        figures = List.copyOf(figures);
        series = List.copyOf(series);
    }

    /**
     * The machine of a run.
     *
     * @param cores processors available
     * @param maxHeapMebibytes the largest heap, in MiB
     * @param java the version of the Java runtime
     */
    public record Machine(int cores, long maxHeapMebibytes, String java) {
        private static final long BYTES_PER_MEBIBYTE = 1_048_576L;

        /** Returns the machine of this process. */
        public static Machine current() {
            Runtime runtime = Runtime.getRuntime();
            return new Machine(
                    runtime.availableProcessors(),
                    runtime.maxMemory() / BYTES_PER_MEBIBYTE,
                    Runtime.version().toString());
        }
    }

    /** Returns a figure by its name. */
    public Optional<Figure> figure(String name) {
        return figures.stream().filter(figure -> figure.name().equals(name)).findFirst();
    }
}
