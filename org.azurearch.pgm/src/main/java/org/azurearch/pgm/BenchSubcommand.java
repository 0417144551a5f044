package org.azurearch.pgm;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.pgm.internal.ExperimentArguments;
import org.azurearch.pgm.internal.Output;
import org.azurearch.pgm.internal.TerminalProgress;
import org.azurearch.standin.bench.Experiment;
import org.azurearch.standin.bench.ExperimentOptions;
import org.azurearch.standin.bench.ExperimentRecord;
import org.azurearch.standin.bench.ExperimentRegistry;
import org.azurearch.standin.bench.RecordComparison;
import org.azurearch.standin.bench.RecordFiles;
import org.azurearch.standin.bench.report.MarkdownReport;
import org.azurearch.standin.bench.report.Plots;

/** The {@code bench} command: runs an experiment, or compares two records. */
@Command(name = "bench", summary = PgmText.SUMMARY_BENCH)
public final class BenchSubcommand extends Subcommand {
    private static final String COMPARE = "compare";
    private static final int COMPARED_RECORDS = 2;

    @Override
    protected void addOptions(OptionParser parser) {
        parser.allowsUnrecognizedOptions();
        parser.accepts("output", PgmText.OPTION_OUTPUT.format()).withRequiredArg();
        parser.accepts("name", PgmText.OPTION_RECORD_NAME.format()).withRequiredArg();
        parser.nonOptions(PgmText.OPTION_EXPERIMENT.format());
    }

    @Override
    protected ExitCode run(OptionSet options, Output output) {
        List<String> arguments =
                options.nonOptionArguments().stream().map(String::valueOf).toList();
        if (arguments.isEmpty()) {
            new ExperimentRegistry()
                    .experiments()
                    .forEach(experiment -> output.printLine(listLine(experiment)));
            return ExitCode.USAGE;
        }
        String name = arguments.get(0);
        List<String> rest = arguments.subList(1, arguments.size());
        if (name.equals(COMPARE)) {
            return compare(rest, output);
        }
        ExperimentRecord record =
                new ExperimentRegistry()
                        .run(
                                name,
                                new ExperimentOptions(ExperimentArguments.parse(rest)),
                                TerminalProgress.onTerminal());
        String recordName = options.has("name") ? required(options, "name") : name;
        output.printResult(record, value -> output.printLine(MarkdownReport.of(recordName, value)));
        if (options.has("output")) {
            writeFiles(Path.of(required(options, "output")), recordName, record);
        }
        return ExitCode.DONE;
    }

    private static String listLine(Experiment experiment) {
        return String.format("  %-12s %s", experiment.name(), experiment.summary());
    }

    private static ExitCode compare(List<String> files, Output output) {
        if (files.size() != COMPARED_RECORDS) {
            throw new AzurearchException(ErrorCode.USAGE, PgmText.COMPARE_USAGE.format());
        }
        RecordComparison comparison =
                new RecordComparison(
                        RecordFiles.read(Path.of(files.get(0))),
                        RecordFiles.read(Path.of(files.get(1))));
        output.printResult(comparison.pairs(), value -> output.printLine(comparison.text()));
        return ExitCode.DONE;
    }

    private static void writeFiles(Path folder, String name, ExperimentRecord record) {
        RecordFiles.write(folder, name, record);
        try {
            Plots.write(folder, name, record.series());
            Files.writeString(folder.resolve(name + ".md"), MarkdownReport.of(name, record));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
