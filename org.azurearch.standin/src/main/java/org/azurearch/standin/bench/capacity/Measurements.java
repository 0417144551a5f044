package org.azurearch.standin.bench.capacity;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.azurearch.standin.bench.ExperimentRecord;
import org.azurearch.standin.bench.Figure;
import org.azurearch.standin.bench.RecordFiles;

/** The committed experiment records, read on first use by file name. Not thread-safe. */
public final class Measurements {
    private final Path mDirectory;
    private final Map<String, ExperimentRecord> mRecords = new HashMap<>();

    /**
     * Creates a reader of the records in a directory; reads no file yet.
     *
     * @param directory the directory of the {@code NAME.json} files
     */
    public Measurements(Path directory) {
        mDirectory = directory;
    }

    /** Returns the value of a figure; empty if the record or the figure is missing. */
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
