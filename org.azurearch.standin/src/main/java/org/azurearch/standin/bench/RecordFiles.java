package org.azurearch.standin.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.azurearch.standin.bench.report.MarkdownReport;
import org.azurearch.standin.bench.report.Plots;

/** Reads and writes the files of a record: JSON, report and plots. */
public final class RecordFiles {
    private static final ObjectMapper JSON =
            new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    private RecordFiles() {}

    /**
     * Reads a record.
     *
     * @throws UncheckedIOException if the file is missing or does not hold a record
     */
    public static ExperimentRecord read(Path file) {
        try {
            return JSON.readValue(file.toFile(), ExperimentRecord.class);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Writes a record as {@code NAME.json}, {@code NAME.md} and one PNG for each chart.
     *
     * @param directory the target directory; created if absent
     * @param name file name without suffix
     * @return the JSON file
     */
    public static Path write(Path directory, String name, ExperimentRecord record) {
        try {
            Files.createDirectories(directory);
            Path json = directory.resolve(name + ".json");
            JSON.writeValue(json.toFile(), record);
            Files.writeString(directory.resolve(name + ".md"), MarkdownReport.of(name, record));
            Plots.write(directory, name, record.series());
            return json;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
