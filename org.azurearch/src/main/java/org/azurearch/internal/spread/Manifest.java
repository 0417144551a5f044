package org.azurearch.internal.spread;

import java.util.List;
import org.azurearch.lib.Digest;
import org.azurearch.spread.Position;

/**
 * The table of contents of a snapshot.
 *
 * @param position the position of the state
 * @param chunks the digests of the chunks' content, in order
 * @param totalBytes the size of the whole content, in bytes
 */
record Manifest(Position position, List<Digest> chunks, long totalBytes) {
    /** Takes a copy of the list. */
    Manifest {
        chunks = List.copyOf(chunks);
    }
}
