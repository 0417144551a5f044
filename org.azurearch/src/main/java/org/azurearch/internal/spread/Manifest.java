package org.azurearch.internal.spread;

import java.util.List;
import org.azurearch.lib.Digest;
import org.azurearch.spread.Position;

/**
 * The list of chunks that make up a snapshot.
 *
 * @param position the position of the encoded state
 * @param chunks the digests of the chunks' content, in order
 * @param totalBytes the total size of the content in bytes
 */
record Manifest(Position position, List<Digest> chunks, long totalBytes) {
    /** Takes a copy of the list. */
    Manifest {
        chunks = List.copyOf(chunks);
    }
}
