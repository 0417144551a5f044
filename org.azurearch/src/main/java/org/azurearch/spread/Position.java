package org.azurearch.spread;

import org.azurearch.fold.FoldState;
import org.azurearch.lib.Digest;

/**
 * A position in the folded change stream.
 *
 * @param offset the offset of the last record folded; -1 before the first
 * @param digest the running digest of the state there
 */
public record Position(long offset, Digest digest) {
    /** Returns the position of a state. */
    public static Position of(FoldState state) {
        return new Position(state.offset(), state.digest());
    }

    /** Returns whether this position is at a later offset. */
    public boolean after(Position other) {
        return offset > other.offset;
    }

    /** Returns whether the positions have the same offset and different digests. */
    public boolean contradicts(Position other) {
        return offset == other.offset && !digest.equals(other.digest);
    }

    @Override
    public String toString() {
        return offset + "/" + digest.shortName();
    }
}
