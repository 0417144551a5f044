package org.azurearch.pgm;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.errors.Problem;
import org.azurearch.pgm.internal.Output;

/** Base of the commands that read local documents and need no node. */
abstract class DocumentSubcommand extends Subcommand {
    @Override
    protected void addOptions(OptionParser parser) {
        parser.accepts("base", PgmText.OPTION_BASE.format()).withRequiredArg();
        parser.accepts("overlay", PgmText.OPTION_OVERLAY.format()).withRequiredArg();
        parser.nonOptions(PgmText.OPTION_FILES.format());
    }

    /**
     * Returns the files given as options or arguments.
     *
     * @throws AzurearchException with {@code USAGE} when there are none
     */
    static List<Path> files(OptionSet options) {
        List<Object> names = new ArrayList<>(options.valuesOf("base"));
        names.addAll(options.valuesOf("overlay"));
        names.addAll(options.nonOptionArguments());
        if (names.isEmpty()) {
            throw new AzurearchException(ErrorCode.USAGE, PgmText.NO_FILES.format());
        }
        return names.stream().map(String::valueOf).map(Path::of).toList();
    }

    /** Prints one line for each problem. */
    static void printProblems(List<Problem> problems, Output output) {
        problems.stream().map(Problem::text).forEach(output::printLine);
    }
}
