package org.azurearch.api;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.azurearch.errors.ErrorCode;
import org.azurearch.errors.InvalidInputException;
import org.azurearch.errors.Problem;
import org.azurearch.errors.SourceLocation;
import org.azurearch.fold.Document;
import org.azurearch.fold.DocumentName;
import org.azurearch.internal.config.ParsedDocument;
import org.azurearch.lib.FirmId;

/**
 * A document and the firm that it belongs to.
 *
 * @param firm the firm
 * @param document the document
 */
public record FirmDocument(FirmId firm, Document document) {
    /**
     * Reads a document from a file. Its text states the firm, the kind and the site.
     *
     * @param file the file
     * @throws InvalidInputException with every problem and its file and line
     */
    public static FirmDocument read(Path file) {
        try {
            return parse(file.toString(), Files.readAllBytes(file));
        } catch (IOException e) {
            throw unreadable(file, e);
        }
    }

    /**
     * Parses a document.
     *
     * @param file the name of the source, for messages
     * @param text the YAML text in UTF-8
     * @throws InvalidInputException with every problem and its line
     */
    public static FirmDocument parse(String file, byte[] text) {
        ParsedDocument parsed = ParsedDocument.parse(file, text);
        DocumentName name = new DocumentName(parsed.site());
        return new FirmDocument(parsed.firm(), Document.of(name, file, text));
    }

    /**
     * Returns a file itself, or the YAML files in a folder and its subfolders.
     *
     * @param path a file or folder
     * @return the files, sorted
     * @throws InvalidInputException when the path cannot be read
     */
    public static List<Path> files(Path path) {
        if (!Files.isDirectory(path)) {
            return List.of(path);
        }
        try (Stream<Path> entries = Files.walk(path)) {
            return entries.filter(file -> file.toString().endsWith(".yaml")).sorted().toList();
        } catch (IOException e) {
            throw unreadable(path, e);
        }
    }

    private static InvalidInputException unreadable(Path path, IOException e) {
        String message = "cannot read the file: " + e.getMessage();
        SourceLocation location = new SourceLocation(path.toString(), 0);
        return new InvalidInputException(
                List.of(new Problem(ErrorCode.NOT_FOUND, location, message)));
    }
}
