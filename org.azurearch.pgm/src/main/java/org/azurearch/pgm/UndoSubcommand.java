package org.azurearch.pgm;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.azurearch.admin.UndoCommand;
import org.azurearch.pgm.internal.ChangeOptions;
import org.azurearch.pgm.internal.ChangePrinter;
import org.azurearch.pgm.internal.Output;

/** The {@code undo} command: restores an earlier version as a new one. */
@Command(name = "undo", summary = PgmText.SUMMARY_UNDO)
public final class UndoSubcommand extends RemoteSubcommand {
    @Override
    protected void addOptions(OptionParser parser) {
        super.addOptions(parser);
        addFirmOption(parser);
        ChangeOptions.add(parser);
        parser.accepts("to", PgmText.OPTION_TO.format()).withRequiredArg().ofType(Long.class);
    }

    @Override
    protected ExitCode run(OptionSet options, Output output) {
        UndoCommand command = new UndoCommand(client(options), firm(options));
        if (options.has("to")) {
            command.setVersion((Long) options.valueOf("to"));
        }
        ChangeOptions.apply(options, command);
        return ChangePrinter.print(command.call(), output);
    }
}
