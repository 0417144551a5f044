package org.azurearch.pgm;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.Optional;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.errors.InvalidInputException;
import org.azurearch.errors.Problem;
import org.azurearch.pgm.internal.CommandCatalog;
import org.azurearch.pgm.internal.Output;
import org.azurearch.pgm.internal.Shutdown;

/** Entry point of the command line. */
public final class Main {
    private final PrintStream mOut;
    private final PrintStream mErr;

    /**
     * Creates a command line.
     *
     * @param out the stream for results
     * @param err the stream for errors
     */
    public Main(PrintStream out, PrintStream err) {
        mOut = out;
        mErr = err;
    }

    /** Runs a command and exits with its code. */
    public static void main(String[] arguments) {
        ExitCode code = new Main(System.out, System.err).run(arguments);
        Shutdown.markClosed();
        System.exit(code.status());
    }

    /**
     * Runs a command.
     *
     * @param arguments the command's name and its arguments
     * @return the exit code
     */
    public ExitCode run(String... arguments) {
        CommandCatalog catalog = new CommandCatalog();
        if (arguments.length == 0 || arguments[0].equals("--help")) {
            printUsage(catalog);
            return arguments.length == 0 ? ExitCode.USAGE : ExitCode.DONE;
        }
        Optional<Subcommand> command = catalog.find(arguments[0]);
        if (command.isEmpty()) {
            mErr.println(unknownCommand(catalog, arguments[0]));
            return ExitCode.USAGE;
        }
        String[] rest = Arrays.copyOfRange(arguments, 1, arguments.length);
        return execute(command.get(), rest);
    }

    private static String unknownCommand(CommandCatalog catalog, String name) {
        return catalog.nearest(name)
                .map(near -> PgmText.UNKNOWN_COMMAND_NEAR.format(name, near))
                .orElseGet(() -> PgmText.UNKNOWN_COMMAND.format(name));
    }

    private ExitCode execute(Subcommand command, String[] arguments) {
        try {
            return command.execute(arguments, new Output(mOut));
        } catch (InvalidInputException e) {
            e.problems().stream().map(Problem::text).forEach(mErr::println);
            return ExitCode.of(e.code());
        } catch (AzurearchException e) {
            mErr.println("azurearch: " + e.getMessage() + " [" + e.code().code() + "]");
            if (e.code() == ErrorCode.INTERNAL) {
                e.printStackTrace(mErr);
            }
            return ExitCode.of(e.code());
        } catch (RuntimeException e) {
            mErr.println(PgmText.INTERNAL_ERROR.format(e));
            e.printStackTrace(mErr);
            return ExitCode.FAILED;
        }
    }

    private void printUsage(CommandCatalog catalog) {
        Output output = new Output(mOut);
        output.printLine(PgmText.USAGE.format());
        for (Subcommand command : catalog.commands()) {
            Command declaration = command.declaration();
            output.printLine(
                    String.format(
                            "  %-10s %s", declaration.name(), declaration.summary().format()));
        }
    }
}
