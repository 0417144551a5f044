package org.azurearch.lib;

import java.util.regex.Pattern;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.jspecify.annotations.Nullable;

/**
 * Base class of the identifier types. Two identifiers are equal if their types and names are.
 *
 * <p>A name starts with a lower-case letter or a digit and consists of at most {@value #MAX_LENGTH}
 * lower-case letters, digits, dots, underscores and hyphens.
 */
public abstract class NamedId implements Comparable<NamedId> {
    /** Maximum length of a name, in characters. */
    public static final int MAX_LENGTH = 96;

    private static final Pattern NAME =
            Pattern.compile("[a-z0-9][a-z0-9._-]{0," + (MAX_LENGTH - 1) + "}");

    private final String mName;

    /**
     * Creates an identifier.
     *
     * @param name the name
     * @throws AzurearchException with {@link ErrorCode#BAD_NAME} if the name is malformed
     */
    NamedId(String name) {
        if (!NAME.matcher(name).matches()) {
            throw new AzurearchException(
                    ErrorCode.BAD_NAME,
                    "'" + name + "' is not a valid name: expected " + NAME.pattern());
        }
        mName = name;
    }

    /** Returns the name. */
    public final String name() {
        return mName;
    }

    @Override
    public final int compareTo(NamedId other) {
        int byName = mName.compareTo(other.mName);
        return byName != 0 ? byName : getClass().getName().compareTo(other.getClass().getName());
    }

    @Override
    public final boolean equals(@Nullable Object other) {
        return other instanceof NamedId that
                && getClass() == that.getClass()
                && mName.equals(that.mName);
    }

    @Override
    public final int hashCode() {
        return mName.hashCode();
    }

    @Override
    public final String toString() {
        return mName;
    }
}
