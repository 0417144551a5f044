package org.azurearch.pgm;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.azurearch.admin.StatusCommand;
import org.azurearch.lib.ChangeId;
import org.azurearch.pgm.internal.ChangePrinter;
import org.azurearch.pgm.internal.Output;

/** The {@code status} command: prints the status of a change. */
@Command(name = "status", summary = PgmText.SUMMARY_STATUS)
public final class StatusSubcommand extends RemoteSubcommand {
    @Override
    protected void addOptions(OptionParser parser) {
        super.addOptions(parser);
        addFirmOption(parser);
        parser.accepts("id", PgmText.OPTION_ID.format()).withRequiredArg();
    }

    @Override
    protected ExitCode run(OptionSet options, Output output) {
        ChangeId change = ChangeId.fromString(required(options, "id"));
        return ChangePrinter.print(
                new StatusCommand(client(options), firm(options), change).call(), output);
    }
}
