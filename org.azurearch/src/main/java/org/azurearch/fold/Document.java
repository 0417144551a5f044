package org.azurearch.fold;

import org.azurearch.lib.Digest;

/**
 * A published document.
 *
 * @param name the name: base or overlay
 * @param file the name of the file that the operator published, for messages
 * @param text the YAML text in UTF-8; must not be changed
 * @param digest the digest of the text
 */
public record Document(DocumentName name, String file, byte[] text, Digest digest) {
    /** Creates a document and computes its digest. */
    public static Document of(DocumentName name, String file, byte[] text) {
        return new Document(name, file, text, Digest.of(text));
    }
}
