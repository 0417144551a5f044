package org.azurearch.fold;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.internal.fold.ChangeRecord;
import org.azurearch.internal.fold.Compression;
import org.azurearch.internal.fold.FoldLimits;
import org.azurearch.internal.fold.ThriftBytes;
import org.azurearch.log.LogRecord;
import org.azurearch.thrift.WireRecord;
import org.azurearch.thrift.WireRecords;

/**
 * Encodes the records that follow a state. The current documents of the state are the compression
 * dictionary, so that a document published again with a small change takes few bytes.
 */
public final class DeltaCodec {
    private DeltaCodec() {}

    /**
     * Encodes records.
     *
     * @param base the state that the receiver holds
     * @param records the records that follow it, without a gap
     * @throws AzurearchException with {@link ErrorCode#TOO_LARGE} when they exceed the limit
     */
    public static byte[] encode(FoldState base, List<LogRecord> records) {
        WireRecords wire = new WireRecords();
        wire.setFirstOffset(base.offset() + 1);
        wire.setRecords(new ArrayList<>(records.size()));
        for (LogRecord record : records) {
            checkOffset(record.offset(), base.offset() + 1 + wire.getRecordsSize());
            ByteBuffer data = ByteBuffer.wrap(ChangeRecord.uncompressed(record.data()));
            wire.addToRecords(new WireRecord(record.appendedAtMillis(), data));
        }
        byte[] uncompressed = ThriftBytes.write(wire);
        if (uncompressed.length > FoldLimits.DELTA_BYTES) {
            throw new AzurearchException(
                    ErrorCode.TOO_LARGE,
                    uncompressed.length
                            + " bytes are more than the limit of "
                            + FoldLimits.DELTA_BYTES);
        }
        return Compression.compress(uncompressed, dictionary(base));
    }

    /**
     * Decodes records. They fold to the same state as the original records, but their bytes may
     * differ.
     *
     * @param base the state that they were encoded against
     * @param delta the result of {@link #encode}
     * @throws AzurearchException with {@link ErrorCode#CORRUPT} or {@link ErrorCode#TOO_LARGE} when
     *     the bytes are malformed or belong to another state
     */
    public static List<LogRecord> decode(FoldState base, byte[] delta) {
        byte[] uncompressed =
                Compression.decompress(delta, dictionary(base), FoldLimits.DELTA_BYTES);
        WireRecords wire = ThriftBytes.read(new WireRecords(), uncompressed);
        checkOffset(wire.getFirstOffset(), base.offset() + 1);
        List<LogRecord> records = new ArrayList<>(wire.getRecordsSize());
        for (WireRecord record : wire.getRecords()) {
            long offset = wire.getFirstOffset() + records.size();
            records.add(new LogRecord(offset, record.getAppendedAtMillis(), record.getData()));
        }
        return List.copyOf(records);
    }

    private static void checkOffset(long found, long expected) {
        if (found != expected) {
            throw new AzurearchException(
                    ErrorCode.CORRUPT,
                    "the delta continues at offset " + found + " instead of " + expected);
        }
    }

    private static byte[] dictionary(FoldState base) {
        List<byte[]> texts =
                base.firms().stream()
                        .flatMap(firm -> base.documents(firm).stream())
                        .map(Document::text)
                        .toList();
        ByteBuffer dictionary =
                ByteBuffer.allocate(texts.stream().mapToInt(text -> text.length).sum());
        texts.forEach(dictionary::put);
        return dictionary.array();
    }
}
