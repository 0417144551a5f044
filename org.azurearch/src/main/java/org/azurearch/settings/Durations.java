package org.azurearch.settings;

import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;

/** Parses durations in settings and documents: a whole number with a unit. */
public final class Durations {
    /**
     * The regular expression of a duration: digits and {@code ms}, {@code s}, {@code m}, {@code h}
     * or {@code d}.
     */
    public static final String PATTERN = "^[0-9]{1,9}(ms|s|m|h|d)$";

    private static final Pattern DURATION = Pattern.compile("([0-9]{1,9})(ms|s|m|h|d)");

    private Durations() {}

    /**
     * Parses a duration.
     *
     * @throws AzurearchException with {@link ErrorCode#WRONG_TYPE} if the text is malformed
     */
    public static Duration parse(String text) {
        Matcher matcher = DURATION.matcher(text);
        if (!matcher.matches()) {
            throw new AzurearchException(
                    ErrorCode.WRONG_TYPE,
                    "'" + text + "' is not a duration such as 250ms, 4s, 5m, 2h or 1d");
        }
        long number = Long.parseLong(matcher.group(1));
        return switch (matcher.group(2)) {
            case "ms" -> Duration.ofMillis(number);
            case "s" -> Duration.ofSeconds(number);
            case "m" -> Duration.ofMinutes(number);
            case "h" -> Duration.ofHours(number);
            default -> Duration.ofDays(number);
        };
    }
}
