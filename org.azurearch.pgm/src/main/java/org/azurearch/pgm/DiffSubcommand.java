package org.azurearch.pgm;

import java.nio.file.Path;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.azurearch.api.DiffCommand;
import org.azurearch.api.DiffResult;
import org.azurearch.lib.SiteId;
import org.azurearch.pgm.internal.Output;

/** The {@code diff} command: prints what files change at each site. */
@Command(name = "diff", summary = PgmText.SUMMARY_DIFF)
public final class DiffSubcommand extends DocumentSubcommand {
    @Override
    protected void addOptions(OptionParser parser) {
        super.addOptions(parser);
        parser.accepts("before", PgmText.OPTION_BEFORE.format()).withRequiredArg();
    }

    @Override
    protected ExitCode run(OptionSet options, Output output) {
        DiffCommand command = new DiffCommand();
        for (Object before : options.valuesOf("before")) {
            command.addBefore(Path.of(String.valueOf(before)));
        }
        files(options).forEach(command::addAfter);
        DiffResult result = command.call();
        output.printResult(result, value -> print(value, output));
        return result.status() == DiffResult.Status.INVALID ? ExitCode.REFUSED : ExitCode.DONE;
    }

    private static void print(DiffResult result, Output output) {
        for (DiffResult.SiteDiff site : result.sites()) {
            String name = site.overlaySite().map(SiteId::name).orElse(PgmText.EVERY_SITE.format());
            output.printLine(site.firm() + "/" + name + ":");
            site.entries().forEach(entry -> output.printLine("  " + entry.text()));
        }
        printProblems(result.problems(), output);
    }
}
