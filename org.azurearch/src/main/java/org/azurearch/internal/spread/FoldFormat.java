package org.azurearch.internal.spread;

import java.util.List;
import org.azurearch.fold.FoldState;
import org.azurearch.log.LogRecord;

/** Binary encoding of the folded state and of the records between two states. */
interface FoldFormat {
    /** Returns the state before the first record. */
    FoldState emptyState();

    /** Encodes a complete state; equal states are encoded to equal bytes. */
    byte[] encodeState(FoldState state);

    /**
     * Decodes a complete state.
     *
     * @throws org.azurearch.errors.AzurearchException with {@code CORRUPT} or {@code
     *     UNKNOWN_RULE_SET}
     */
    FoldState decodeState(byte[] bytes);

    /** Encodes the records that follow a state. */
    byte[] encodeDelta(FoldState base, List<LogRecord> records);

    /**
     * Decodes the records that follow a state.
     *
     * @throws org.azurearch.errors.AzurearchException with {@code CORRUPT}
     */
    List<LogRecord> decodeDelta(FoldState base, byte[] payload);
}
