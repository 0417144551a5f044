package org.azurearch.standin.bench.capacity;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.azurearch.standin.bench.ExperimentRecord;
import org.azurearch.standin.bench.Figure;
import org.azurearch.standin.bench.RecordFiles;

/** The committed records that the page works from, by the name of their file. */
public final class Measurements {
    private final Path mDirectory;
    private final Map<String, ExperimentRecord> mRecords = new HashMap<>();

    /**
     * Opens the records of a directory.
     *
     * @param directory where {@code NAME.json} files are
     */
    public Measurements(Path directory) {
        mDirectory = directory;
    }

    /** Returns a figure of a record; empty when the record or the figure is missing. */
    public OptionalDouble figure(String record, String name) {
        Path file = mDirectory.resolve(record + ".json");
        if (!mRecords.containsKey(record) && Files.exists(file)) {
            mRecords.put(record, RecordFiles.read(file));
        }
        ExperimentRecord found = mRecords.get(record);
        if (found == null) {
            return OptionalDouble.empty();
        }
        return found.figure(name)
                .map(Figure::value)
                .map(OptionalDouble::of)
                .orElse(OptionalDouble.empty());
    }
}
