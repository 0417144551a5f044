package org.azurearch.admin;

import java.nio.charset.StandardCharsets;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.fold.Document;
import org.azurearch.fold.DocumentName;
import org.azurearch.lib.SiteId;

/**
 * A document in a request or answer.
 *
 * @param name {@code base} or {@code overlays/SITE}
 * @param file the file name, for messages
 * @param text the YAML text
 */
public record DocumentBody(String name, String file, String text) {
    private static final String BASE = "base";
    private static final String OVERLAY_PREFIX = "overlays/";

    /** Returns the body of a document. */
    public static DocumentBody of(Document document) {
        return new DocumentBody(
                document.name().name(),
                document.file(),
                new String(document.text(), StandardCharsets.UTF_8));
    }

    /**
     * Returns the document.
     *
     * @throws AzurearchException with {@code BAD_NAME} when the name is malformed
     */
    public Document document() {
        return Document.of(parseName(name), file, text.getBytes(StandardCharsets.UTF_8));
    }

    private static DocumentName parseName(String name) {
        if (name.equals(BASE)) {
            return DocumentName.BASE;
        }
        if (name.startsWith(OVERLAY_PREFIX)) {
            return DocumentName.overlay(SiteId.fromString(name.substring(OVERLAY_PREFIX.length())));
        }
        throw new AzurearchException(
                ErrorCode.BAD_NAME, "expected 'base' or 'overlays/SITE', not '" + name + "'");
    }
}
