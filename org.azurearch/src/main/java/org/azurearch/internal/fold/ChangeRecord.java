package org.azurearch.internal.fold;

import java.util.Arrays;
import java.util.Optional;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.fold.Change;
import org.azurearch.lib.ChangeId;
import org.azurearch.lib.Digest;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.OperatorId;
import org.azurearch.thrift.WireChange;
import org.jspecify.annotations.Nullable;

/**
 * A parsed record of the change stream. The digest covers the uncompressed form, so that it does
 * not depend on how the record was compressed in transit.
 *
 * @param digest the digest of the content
 * @param change the change, or null when the record is malformed
 * @param sender the sender of a malformed record if its ids can be read, otherwise null
 */
public record ChangeRecord(Digest digest, @Nullable Change change, @Nullable Sender sender) {
    /** First byte of an uncompressed record. */
    static final byte UNCOMPRESSED = 1;

    /** First byte of a compressed record. */
    static final byte COMPRESSED = 2;

    /**
     * The ids that could be read from a malformed record.
     *
     * @param change the id of the change
     * @param firm the firm
     * @param operator the operator
     */
    public record Sender(ChangeId change, FirmId firm, OperatorId operator) {}

    /** Returns the bytes of a change for the log, compressed if that is shorter. */
    public static byte[] encode(Change change) {
        byte[] uncompressed = ThriftBytes.write(ChangeMapper.toWire(change));
        if (uncompressed.length > FoldLimits.CHANGE_BYTES) {
            throw new AzurearchException(
                    ErrorCode.TOO_LARGE,
                    uncompressed.length
                            + " bytes are more than the limit of "
                            + FoldLimits.CHANGE_BYTES);
        }
        byte[] compressed = Compression.compress(uncompressed, Compression.NO_DICTIONARY);
        return compressed.length < uncompressed.length
                ? withFormat(COMPRESSED, compressed)
                : withFormat(UNCOMPRESSED, uncompressed);
    }

    /** Returns the uncompressed form of a record, or the record itself if it is malformed. */
    public static byte[] uncompressed(byte[] data) {
        if (data.length == 0 || data[0] != COMPRESSED) {
            return data;
        }
        try {
            return withFormat(UNCOMPRESSED, content(data));
        } catch (AzurearchException e) {
            return data;
        }
    }

    /** Parses a record; the change of a malformed record is null. */
    public static ChangeRecord read(byte[] data) {
        WireChange wire;
        byte[] content;
        try {
            content = content(data);
            wire = ThriftBytes.read(new WireChange(), content);
        } catch (AzurearchException e) {
            return new ChangeRecord(Digest.of(uncompressed(data)), null, null);
        }
        Digest digest = Digest.of(withFormat(UNCOMPRESSED, content));
        try {
            return new ChangeRecord(digest, ChangeMapper.fromWire(wire), null);
        } catch (AzurearchException e) {
            return new ChangeRecord(digest, null, sender(wire).orElse(null));
        }
    }

    private static Optional<Sender> sender(WireChange wire) {
        try {
            return Optional.of(
                    new Sender(
                            ChangeId.fromString(wire.getId()),
                            FirmId.fromString(wire.getFirm()),
                            OperatorId.fromString(wire.getOperatorId())));
        } catch (AzurearchException e) {
            return Optional.empty();
        }
    }

    private static byte[] content(byte[] data) {
        if (data.length == 0) {
            throw new AzurearchException(ErrorCode.CORRUPT, "empty record");
        }
        byte[] body = Arrays.copyOfRange(data, 1, data.length);
        if (data[0] == COMPRESSED) {
            return Compression.decompress(body, Compression.NO_DICTIONARY, FoldLimits.CHANGE_BYTES);
        }
        if (data[0] == UNCOMPRESSED && body.length <= FoldLimits.CHANGE_BYTES) {
            return body;
        }
        throw new AzurearchException(ErrorCode.CORRUPT, "unknown record format " + data[0]);
    }

    private static byte[] withFormat(byte format, byte[] body) {
        byte[] framed = new byte[body.length + 1];
        framed[0] = format;
        System.arraycopy(body, 0, framed, 1, body.length);
        return framed;
    }
}
