package org.azurearch.pgm.internal;

import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;

/** Parses the options of an experiment, {@code --name value} or {@code --name=value}. */
public final class ExperimentArguments {
    private static final String PREFIX = "--";

    private ExperimentArguments() {}

    /**
     * Returns the options by name.
     *
     * @throws AzurearchException with {@code USAGE} when a name or a value is missing
     */
    public static Map<String, String> parse(List<String> arguments) {
        Map<String, String> options = new TreeMap<>();
        Iterator<String> rest = arguments.iterator();
        while (rest.hasNext()) {
            String argument = rest.next();
            if (!argument.startsWith(PREFIX)) {
                throw new AzurearchException(
                        ErrorCode.USAGE, "expected an option --name, not " + argument);
            }
            String option = argument.substring(PREFIX.length());
            int equals = option.indexOf('=');
            if (equals >= 0) {
                options.put(option.substring(0, equals), option.substring(equals + 1));
            } else if (rest.hasNext()) {
                options.put(option, rest.next());
            } else {
                throw new AzurearchException(ErrorCode.USAGE, "missing value for " + argument);
            }
        }
        return options;
    }
}
