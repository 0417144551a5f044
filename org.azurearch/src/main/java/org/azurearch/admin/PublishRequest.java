package org.azurearch.admin;

import java.util.List;

/**
 * Request to change documents of a firm.
 *
 * @param id the change id that the operator chose
 * @param expectedVersion the version of the firm that the change is based on, 0 for none
 * @param documents the documents to set
 * @param removedOverlays the sites whose overlay to remove
 * @param note the operator's note
 */
public record PublishRequest(
        String id,
        long expectedVersion,
        List<DocumentBody> documents,
        List<String> removedOverlays,
        String note) {
    /** Takes copies of the lists. */
    public PublishRequest {
        documents = List.copyOf(documents);
        removedOverlays = List.copyOf(removedOverlays);
    }
}
