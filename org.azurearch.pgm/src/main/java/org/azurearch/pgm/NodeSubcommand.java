package org.azurearch.pgm;

import java.nio.file.Path;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.errors.InvalidInputException;
import org.azurearch.member.Member;
import org.azurearch.member.MemberView;
import org.azurearch.node.NodeDaemon;
import org.azurearch.pgm.internal.LogLevel;
import org.azurearch.pgm.internal.Output;
import org.azurearch.pgm.internal.Shutdown;
import org.azurearch.settings.SettingsFile;
import org.azurearch.settings.SettingsSection;

/** The {@code node} command: runs a node until the process is stopped. */
@Command(name = "node", summary = PgmText.SUMMARY_NODE)
public final class NodeSubcommand extends Subcommand {
    @Override
    protected void addOptions(OptionParser parser) {
        parser.accepts("settings", PgmText.OPTION_SETTINGS.format()).withRequiredArg();
    }

    @Override
    protected ExitCode run(OptionSet options, Output output) {
        Path file = Path.of(required(options, "settings"));
        SettingsSection settings = readSettings(file);
        LogLevel.apply(settings);
        try (NodeDaemon node = new NodeDaemon(settings)) {
            Member self = node.kernel().service(MemberView.class).self();
            output.printLine(
                    PgmText.NODE_READY_LINE.format(
                            self.node(), node.callsAddress(), node.adminAddress(), self.peer()));
            Shutdown.awaitRequest();
        }
        return ExitCode.DONE;
    }

    private static SettingsSection readSettings(Path file) {
        try {
            return SettingsFile.read(file);
        } catch (InvalidInputException e) {
            throw new AzurearchException(ErrorCode.USAGE, String.valueOf(e.getMessage()), e);
        }
    }
}
