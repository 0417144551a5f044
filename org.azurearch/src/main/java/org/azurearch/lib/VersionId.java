package org.azurearch.lib;

import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;

/**
 * Identifies an accepted configuration version of a firm. Numbers start at 1 and increase; 0 means
 * that no version has been accepted yet.
 *
 * @param firm the firm
 * @param number the version number, 0 or more
 */
public record VersionId(FirmId firm, long number) implements Comparable<VersionId> {
    /** Validates the number. */
    public VersionId {
        if (number < 0) {
            throw new AzurearchException(ErrorCode.BAD_NAME, "negative version " + number);
        }
    }

    /**
     * Parses the form returned by {@link #name()}, such as {@code regie@12}.
     *
     * @param text the text
     * @throws AzurearchException with {@link ErrorCode#BAD_NAME} if the text is malformed
     */
    public static VersionId fromString(String text) {
        int at = text.indexOf('@');
        if (at < 0) {
            throw new AzurearchException(ErrorCode.BAD_NAME, "expected firm@number: " + text);
        }
        try {
            return new VersionId(
                    FirmId.fromString(text.substring(0, at)),
                    Long.parseLong(text.substring(at + 1)));
        } catch (NumberFormatException e) {
            throw new AzurearchException(ErrorCode.BAD_NAME, "expected firm@number: " + text, e);
        }
    }

    /** Returns the text form, such as {@code regie@12}. */
    public String name() {
        return firm.name() + "@" + number;
    }

    @Override
    public int compareTo(VersionId other) {
        int byFirm = firm.compareTo(other.firm);
        return byFirm != 0 ? byFirm : Long.compare(number, other.number);
    }

    @Override
    public String toString() {
        return name();
    }
}
