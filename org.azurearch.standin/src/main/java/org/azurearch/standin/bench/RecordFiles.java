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
     * @throws UncheckedIOException when the file is missing or not a record
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
     * @param directory where the files go; it is created when absent
     * @param name the name of the files without suffix
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
