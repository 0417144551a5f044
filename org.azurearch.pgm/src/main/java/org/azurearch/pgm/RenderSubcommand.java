package org.azurearch.pgm;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.azurearch.api.RenderCommand;
import org.azurearch.api.RenderResult;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.SiteId;
import org.azurearch.pgm.internal.Output;

/** The {@code render} command: prints the merged configuration of a site. */
@Command(name = "render", summary = PgmText.SUMMARY_RENDER)
public final class RenderSubcommand extends DocumentSubcommand {
    @Override
    protected void addOptions(OptionParser parser) {
        super.addOptions(parser);
        parser.accepts("firm", PgmText.OPTION_FIRM.format()).withRequiredArg();
        parser.accepts("site", PgmText.OPTION_SITE.format()).withRequiredArg();
        parser.accepts("explain", PgmText.OPTION_EXPLAIN.format());
    }

    @Override
    protected ExitCode run(OptionSet options, Output output) {
        RenderCommand command = new RenderCommand().setExplain(options.has("explain"));
        files(options).forEach(command::addFile);
        if (options.has("firm")) {
            command.setFirm(FirmId.fromString(required(options, "firm")));
        }
        if (options.has("site")) {
            command.setSite(SiteId.fromString(required(options, "site")));
        }
        RenderResult result = command.call();
        output.printResult(result, value -> print(value, output));
        return result.status() == RenderResult.Status.RENDERED ? ExitCode.DONE : ExitCode.REFUSED;
    }

    private static void print(RenderResult result, Output output) {
        if (result.status() == RenderResult.Status.RENDERED) {
            output.printLine(result.text());
        }
        printProblems(result.problems(), output);
    }
}
