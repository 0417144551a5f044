package org.azurearch.pgm.internal;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.azurearch.admin.ChangeCommand;
import org.azurearch.lib.ChangeId;
import org.azurearch.pgm.PgmText;
import org.azurearch.settings.Durations;

/** Options of the commands that submit a change. */
public final class ChangeOptions {
    private static final String DEFAULT_WAIT = "10s";

    private ChangeOptions() {}

    /** Adds the options to a parser. */
    public static void add(OptionParser parser) {
        parser.accepts("id", PgmText.OPTION_ID.format()).withRequiredArg();
        parser.accepts("note", PgmText.OPTION_NOTE.format()).withRequiredArg().defaultsTo("");
        parser.accepts("wait", PgmText.OPTION_WAIT.format())
                .withRequiredArg()
                .defaultsTo(DEFAULT_WAIT);
    }

    /** Applies the options to a command. */
    public static void apply(OptionSet options, ChangeCommand<?> command) {
        if (options.has("id")) {
            command.setId(ChangeId.fromString(String.valueOf(options.valueOf("id"))));
        }
        command.setNote(String.valueOf(options.valueOf("note")));
        command.setWait(Durations.parse(String.valueOf(options.valueOf("wait"))));
        command.setMonitor(TerminalProgress.onTerminal());
    }
}
