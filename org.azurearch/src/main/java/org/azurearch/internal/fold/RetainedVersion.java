package org.azurearch.internal.fold;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;
import org.azurearch.fold.Document;
import org.azurearch.fold.DocumentName;

/**
 * The documents of a version that an undo can restore.
 *
 * @param number the number of the version
 * @param documents the documents by name
 */
record RetainedVersion(long number, SortedMap<DocumentName, Document> documents) {
    /** Takes a copy of the documents. */
    RetainedVersion {
        documents = Collections.unmodifiableSortedMap(new TreeMap<>(documents));
    }
}
