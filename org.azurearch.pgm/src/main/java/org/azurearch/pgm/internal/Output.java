package org.azurearch.pgm.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.PrintStream;
import java.util.function.Consumer;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;

/** Prints results as text or as JSON. */
public final class Output {
    private final ObjectMapper mMapper =
            new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    private final PrintStream mStream;
    private final boolean mJson;

    /** Creates an output that prints text. */
    public Output(PrintStream stream) {
        this(stream, false);
    }

    private Output(PrintStream stream, boolean json) {
        mStream = stream;
        mJson = json;
    }

    /** Returns an output to the same stream that prints JSON. */
    public Output json() {
        return new Output(mStream, true);
    }

    /** Returns the stream. */
    public PrintStream stream() {
        return mStream;
    }

    /** Prints a line of text. */
    public void printLine(String text) {
        mStream.println(text);
        mStream.flush();
    }

    /**
     * Prints a result, as JSON or as text depending on the mode of this output.
     *
     * @param result the result, a record
     * @param textPrinter prints the result as text
     */
    public <T> void printResult(T result, Consumer<T> textPrinter) {
        if (!mJson) {
            textPrinter.accept(result);
            return;
        }
        try {
            printLine(mMapper.writeValueAsString(result));
        } catch (JsonProcessingException e) {
            throw new AzurearchException(ErrorCode.INTERNAL, "cannot write JSON", e);
        }
    }
}
