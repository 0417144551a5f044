package org.azurearch.internal.spread;

import java.util.List;
import org.azurearch.fold.DeltaCodec;
import org.azurearch.fold.FoldState;
import org.azurearch.fold.Folds;
import org.azurearch.fold.StateCodec;
import org.azurearch.log.LogRecord;

/** Fold format that uses {@link StateCodec} and {@link DeltaCodec}. */
final class CodecFormat implements FoldFormat {
    @Override
    public FoldState emptyState() {
        return Folds.empty();
    }

    @Override
    public byte[] encodeState(FoldState state) {
        return StateCodec.encode(state);
    }

    @Override
    public FoldState decodeState(byte[] bytes) {
        return StateCodec.decode(bytes);
    }

    @Override
    public byte[] encodeDelta(FoldState base, List<LogRecord> records) {
        return DeltaCodec.encode(base, records);
    }

    @Override
    public List<LogRecord> decodeDelta(FoldState base, byte[] payload) {
        return DeltaCodec.decode(base, payload);
    }
}
