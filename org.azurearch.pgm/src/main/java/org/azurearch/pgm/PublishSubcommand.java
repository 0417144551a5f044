package org.azurearch.pgm;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.azurearch.admin.PublishCommand;
import org.azurearch.fold.Document;
import org.azurearch.fold.DocumentName;
import org.azurearch.lib.SiteId;
import org.azurearch.pgm.internal.ChangeOptions;
import org.azurearch.pgm.internal.ChangePrinter;
import org.azurearch.pgm.internal.Output;

/** The {@code publish} command: publishes base and overlay files as one change. */
@Command(name = "publish", summary = PgmText.SUMMARY_PUBLISH)
public final class PublishSubcommand extends RemoteSubcommand {
    private static final String YAML_SUFFIX = ".yaml";

    @Override
    protected void addOptions(OptionParser parser) {
        super.addOptions(parser);
        addFirmOption(parser);
        ChangeOptions.add(parser);
        parser.accepts("base", PgmText.OPTION_BASE.format()).withRequiredArg();
        parser.accepts("overlay", PgmText.OPTION_OVERLAY.format()).withRequiredArg();
        parser.accepts("remove-overlay", PgmText.OPTION_REMOVE_OVERLAY.format()).withRequiredArg();
        parser.accepts("expect", PgmText.OPTION_EXPECT.format())
                .withRequiredArg()
                .ofType(Long.class);
    }

    @Override
    protected ExitCode run(OptionSet options, Output output) {
        PublishCommand command = new PublishCommand(client(options), firm(options));
        if (options.has("base")) {
            Path file = Path.of(required(options, "base"));
            command.addDocument(readDocument(DocumentName.BASE, file));
        }
        for (Object overlay : options.valuesOf("overlay")) {
            Path file = Path.of(String.valueOf(overlay));
            command.addDocument(readDocument(DocumentName.overlay(siteOf(file)), file));
        }
        for (Object site : options.valuesOf("remove-overlay")) {
            command.removeOverlay(SiteId.fromString(String.valueOf(site)));
        }
        if (options.has("expect")) {
            command.setExpectedVersion((Long) options.valueOf("expect"));
        }
        ChangeOptions.apply(options, command);
        return ChangePrinter.print(command.call(), output);
    }

    private static Document readDocument(DocumentName name, Path file) {
        return Document.of(name, file.toString(), readText(file).getBytes(StandardCharsets.UTF_8));
    }

    private static SiteId siteOf(Path file) {
        String name = String.valueOf(file.getFileName());
        return SiteId.fromString(
                name.endsWith(YAML_SUFFIX)
                        ? name.substring(0, name.length() - YAML_SUFFIX.length())
                        : name);
    }
}
