package org.azurearch.errors;

/**
 * A place in a document.
 *
 * @param file the name of the file or other source
 * @param line the line, from 1; 0 when the problem is with the file as a whole
 */
public record SourceLocation(String file, int line) {
    /** Returns {@code file:line}. */
    public String name() {
        return line > 0 ? file + ":" + line : file;
    }

    @Override
    public String toString() {
        return name();
    }
}
