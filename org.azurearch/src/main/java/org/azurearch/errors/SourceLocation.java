package org.azurearch.errors;

/**
 * A location in a document or settings file.
 *
 * @param file the name of the file or other source of the text
 * @param line the line, from 1; 0 for the file as a whole
 */
public record SourceLocation(String file, int line) {
    /** Returns {@code file:line}, or the file alone if the line is 0. */
    public String name() {
        return line > 0 ? file + ":" + line : file;
    }

    @Override
    public String toString() {
        return name();
    }
}
