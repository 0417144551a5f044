package org.azurearch.admin;

import java.util.List;

/**
 * The current documents of a firm.
 *
 * @param firm the firm
 * @param version the number of their version
 * @param documents the documents
 */
public record DocumentsReport(String firm, long version, List<DocumentBody> documents) {
    /** Takes a copy of the list. */
    public DocumentsReport {
        documents = List.copyOf(documents);
    }
}
