package org.azurearch.pgm;

import joptsimple.OptionSet;
import org.azurearch.api.CheckCommand;
import org.azurearch.api.CheckResult;
import org.azurearch.pgm.internal.Output;

/** The {@code check} command: validates base and overlay files. */
@Command(name = "check", summary = PgmText.SUMMARY_CHECK)
public final class CheckSubcommand extends DocumentSubcommand {
    @Override
    protected ExitCode run(OptionSet options, Output output) {
        CheckCommand command = new CheckCommand();
        files(options).forEach(command::addFile);
        CheckResult result = command.call();
        output.printResult(result, value -> print(value, output));
        return result.status() == CheckResult.Status.VALID ? ExitCode.DONE : ExitCode.REFUSED;
    }

    private static void print(CheckResult result, Output output) {
        if (result.status() == CheckResult.Status.VALID) {
            output.printLine(PgmText.CHECK_OK.format());
        }
        printProblems(result.problems(), output);
    }
}
