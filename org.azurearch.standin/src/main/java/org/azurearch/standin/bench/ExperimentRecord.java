package org.azurearch.standin.bench;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The results of one run of an experiment and the conditions under which it ran.
 *
 * @param experiment the name of the experiment
 * @param startedAt start time in ISO 8601
 * @param seconds duration of the run
 * @param commit the commit of the repository, with a plus sign if tracked files had changes
 * @param machine the machine of the run
 * @param settings values of the options by name, the seed included
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
    /** Copies the collections and sorts the settings by name. */
    public ExperimentRecord {
        settings = new TreeMap<>(settings);
        figures = List.copyOf(figures);
        series = List.copyOf(series);
    }

    /**
     * The machine and the Java runtime of a run.
     *
     * @param cores number of available processors
     * @param maxHeapMebibytes maximum heap size in MiB
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

    /** Returns the figure with the given name; empty if the run has none. */
    public Optional<Figure> figure(String name) {
        return figures.stream().filter(figure -> figure.name().equals(name)).findFirst();
    }
}
