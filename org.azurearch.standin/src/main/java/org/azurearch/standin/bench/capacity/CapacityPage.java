package org.azurearch.standin.bench.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/** Generates the capacity page from the committed records. */
public final class CapacityPage {
    private static final String TABLE_HEADER =
            "| role | need | at this size | limit | margin | worked out from | carried by |\n"
                    + "|---|---|---:|---:|---:|---|---|\n";

    private CapacityPage() {}

    /** Generates the page; the arguments are the directory of the records and the output file. */
    public static void main(String[] arguments) throws IOException {
        Files.writeString(Path.of(arguments[1]), of(new Measurements(Path.of(arguments[0]))));
    }

    /** Returns the text of the page. */
    public static String of(Measurements measured) {
        TargetSize size = TargetSize.TARGET;
        CapacityModel model = new CapacityModel(size, measured);
        return "# Capacity\n\n"
                + "This page is generated from the records under `docs/measurements`; a test holds"
                + " it to them.\nTo write it anew after a run:\n"
                + "`java -cp org.azurearch.pgm/target/azurearch.jar"
                + " org.azurearch.standin.bench.capacity.CapacityPage docs/measurements"
                + " docs/CAPACITY.md`.\n\n"
                + sizeParagraph(size)
                + "\nValues are extrapolated from one machine with stand-ins; each row names the"
                + " record and figure it comes\nfrom. A need without a run is said to be not"
                + " measured. A negative margin is set in bold.\n\n"
                + "## Roles\n\n"
                + TABLE_HEADER
                + table(model.roles())
                + "\n## Events\n\n"
                + TABLE_HEADER
                + table(model.events());
    }

    private static String sizeParagraph(TargetSize size) {
        return String.format(
                Locale.ROOT,
                "The size: %,d nodes, %,d services, %,d data centres, %,d calls a second, %,d"
                        + " changes and %,d restarts\na day. That is %.0f nodes in a data centre,"
                        + " %.1f calls a second to each backend server, %.4f changes\nand %.4f"
                        + " restarts a second.\n",
                size.nodes(),
                size.services(),
                size.dataCentres(),
                size.callsPerSecond(),
                size.changesPerDay(),
                size.restartsPerDay(),
                size.nodesPerDataCentre(),
                size.callsPerNode(),
                size.changesPerSecond(),
                size.restartsPerSecond());
    }

    private static String table(List<CapacityRow> rows) {
        StringBuilder table = new StringBuilder();
        rows.forEach(row -> table.append(row.markdown()).append('\n'));
        return table.toString();
    }
}
