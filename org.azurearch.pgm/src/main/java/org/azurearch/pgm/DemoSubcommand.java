package org.azurearch.pgm;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.azurearch.pgm.demo.Demo;
import org.azurearch.pgm.demo.DemoReport;
import org.azurearch.pgm.demo.DemoTargets;
import org.azurearch.pgm.demo.FirmPlan;
import org.azurearch.pgm.internal.Output;
import org.azurearch.pgm.internal.Shutdown;
import org.azurearch.pgm.internal.TerminalProgress;

/** The {@code demo} command: runs a mesh of real processes and checks the guarantees. */
@Command(name = "demo", summary = PgmText.SUMMARY_DEMO)
public final class DemoSubcommand extends Subcommand {
    private static final String EXAMPLES = "examples";
    private static final String HOME_PROPERTY = "azurearch.home";

    @Override
    protected void addOptions(OptionParser parser) {
        parser.accepts("firm", PgmText.OPTION_FIRM.format()).withRequiredArg();
        parser.accepts("keep", PgmText.OPTION_KEEP.format());
        parser.accepts("examples", PgmText.OPTION_EXAMPLES.format()).withRequiredArg();
        parser.accepts("output", PgmText.OPTION_OUTPUT.format()).withRequiredArg();
    }

    @Override
    protected ExitCode run(OptionSet options, Output output) {
        FirmPlan plan = FirmPlan.of(required(options, "firm"));
        try (Demo demo =
                new Demo(
                        plan,
                        examplesFolder(options).resolve(plan.firm().name()),
                        outputFolder(options),
                        DemoTargets.GUARANTEED,
                        TerminalProgress.onTerminal())) {
            DemoReport report = demo.run();
            output.printResult(report, value -> output.printLine(value.table()));
            if (options.has("keep")) {
                output.printLine(demo.accessHint());
                Shutdown.awaitRequest();
            }
            return report.allKept() ? ExitCode.DONE : ExitCode.FAILED;
        }
    }

    private static Path examplesFolder(OptionSet options) {
        return options.has("examples")
                ? Path.of(required(options, "examples"))
                : Path.of(System.getProperty(HOME_PROPERTY, ".")).resolve(EXAMPLES);
    }

    private static Path outputFolder(OptionSet options) {
        try {
            return options.has("output")
                    ? Files.createDirectories(Path.of(required(options, "output")))
                    : Files.createTempDirectory("azurearch-demo");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
