package org.azurearch.admin;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;
import java.util.Locale;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.errors.InvalidInputException;

/**
 * An error as problem details of RFC 9457, {@code application/problem+json}.
 *
 * @param type a relative URI reference with the code
 * @param title the code in words
 * @param status the HTTP status
 * @param code the stable error code, see {@link ErrorCode#code()}
 * @param detail the error message
 * @param problems the problems of a document, empty otherwise
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record ProblemDetails(
        String type,
        String title,
        int status,
        String code,
        String detail,
        List<ProblemReport> problems) {
    /** The media type. */
    public static final String MEDIA_TYPE = "application/problem+json";

    private static final String TYPE_PREFIX = "/problems/";

    /** Takes a copy of the problems. */
    public ProblemDetails {
        problems = problems == null ? List.of() : List.copyOf(problems);
    }

    /** Returns the details of an exception. */
    public static ProblemDetails of(AzurearchException e) {
        List<ProblemReport> problems =
                e instanceof InvalidInputException invalid
                        ? invalid.problems().stream().map(ProblemReport::of).toList()
                        : List.of();
        ErrorCode code = e.code();
        return new ProblemDetails(
                TYPE_PREFIX + code.code(),
                code.code().replace('-', ' '),
                code.httpStatus(),
                code.code(),
                String.valueOf(e.getMessage()),
                problems);
    }

    /** Returns the exception that these details describe. */
    public AzurearchException exception() {
        return new AzurearchException(errorCode(), detail);
    }

    private ErrorCode errorCode() {
        try {
            return ErrorCode.valueOf(code.toUpperCase(Locale.ROOT).replace('-', '_'));
        } catch (IllegalArgumentException e) {
            return ErrorCode.INTERNAL;
        }
    }
}
