package org.azurearch.pgm;

import java.io.IOException;
import java.io.UncheckedIOException;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.pgm.internal.Output;

/**
 * A command of the {@code azurearch} program. Subclasses are annotated with {@link Command} and
 * listed in {@code META-INF/services/org.azurearch.pgm.Subcommand}. They only parse options, call
 * the library and print the result.
 */
public abstract class Subcommand {
    private final OptionParser mParser = new OptionParser(false);

    /** Creates the command and its common options. */
    protected Subcommand() {
        mParser.accepts("help", PgmText.OPTION_HELP.format()).forHelp();
        mParser.accepts("json", PgmText.OPTION_JSON.format());
    }

    /** Returns the annotation with the name and summary of this command. */
    public final Command declaration() {
        return getClass().getAnnotation(Command.class);
    }

    /**
     * Parses the arguments and runs the command.
     *
     * @param arguments the arguments after the command's name
     * @param output prints the results
     * @return the exit code
     * @throws AzurearchException when the command fails
     */
    public final ExitCode execute(String[] arguments, Output output) {
        addOptions(mParser);
        OptionSet options = parse(arguments);
        if (options.has("help")) {
            printHelp(output);
            return ExitCode.DONE;
        }
        return run(options, options.has("json") ? output.json() : output);
    }

    /** Adds the options of the command to the parser. */
    protected void addOptions(OptionParser parser) {
        // no options besides the common ones
    }

    /**
     * Runs the command.
     *
     * @param options the parsed options
     * @param output prints the results
     * @return the exit code
     */
    protected abstract ExitCode run(OptionSet options, Output output);

    /**
     * Returns the value of a required option, or its default.
     *
     * @throws AzurearchException with {@code USAGE} when it is missing
     */
    protected static String required(OptionSet options, String name) {
        Object value = options.valueOf(name);
        if (value == null) {
            throw new AzurearchException(ErrorCode.USAGE, PgmText.MISSING_OPTION.format(name));
        }
        return value.toString();
    }

    private OptionSet parse(String[] arguments) {
        try {
            return mParser.parse(arguments);
        } catch (OptionException e) {
            throw new AzurearchException(ErrorCode.USAGE, String.valueOf(e.getMessage()), e);
        }
    }

    private void printHelp(Output output) {
        output.printLine(
                PgmText.USAGE_OF_COMMAND.format(
                        declaration().name(), declaration().summary().format()));
        try {
            mParser.printHelpOn(output.stream());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
