package org.azurearch.pgm;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.azurearch.admin.RaiseCommand;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.pgm.internal.ChangeOptions;
import org.azurearch.pgm.internal.ChangePrinter;
import org.azurearch.pgm.internal.Output;

/** The {@code raise} command: raises the rule set of the mesh. */
@Command(name = "raise", summary = PgmText.SUMMARY_RAISE)
public final class RaiseSubcommand extends RemoteSubcommand {
    @Override
    protected void addOptions(OptionParser parser) {
        super.addOptions(parser);
        addFirmOption(parser);
        ChangeOptions.add(parser);
        parser.accepts("to", PgmText.OPTION_RULE_SET.format())
                .withRequiredArg()
                .ofType(Integer.class);
    }

    @Override
    protected ExitCode run(OptionSet options, Output output) {
        if (!options.has("to")) {
            throw new AzurearchException(ErrorCode.USAGE, PgmText.MISSING_OPTION.format("to"));
        }
        RaiseCommand command =
                new RaiseCommand(client(options), firm(options), (Integer) options.valueOf("to"));
        ChangeOptions.apply(options, command);
        return ChangePrinter.print(command.call(), output);
    }
}
