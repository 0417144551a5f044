package org.azurearch.fold;

import java.nio.ByteBuffer;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.internal.config.RuleSets;
import org.azurearch.internal.fold.Compression;
import org.azurearch.internal.fold.FoldLimits;
import org.azurearch.internal.fold.ImmutableFoldState;
import org.azurearch.internal.fold.StateMapper;
import org.azurearch.internal.fold.ThriftBytes;
import org.azurearch.lib.Digest;
import org.azurearch.thrift.WireState;

/**
 * Encodes folded states. The same state gives the same bytes on every node that runs the same
 * release.
 *
 * <p>The layout is: the four bytes {@code AZST}, one byte for the format, four for the rule set,
 * {@value Digest#LENGTH_BYTES} for the digest of the remaining bytes, then the compressed state.
 */
public final class StateCodec {
    private static final int MAGIC = 0x415a5354;
    private static final byte FORMAT = 1;
    private static final int HEADER_BYTES = Integer.BYTES + 1 + Integer.BYTES + Digest.LENGTH_BYTES;

    private StateCodec() {}

    /** Encodes a state. */
    public static byte[] encode(FoldState state) {
        if (!(state instanceof ImmutableFoldState immutable)) {
            throw new IllegalArgumentException("unsupported implementation of FoldState");
        }
        byte[] uncompressed = ThriftBytes.write(new StateMapper().toWire(immutable));
        byte[] body = Compression.compress(uncompressed, Compression.NO_DICTIONARY);
        return ByteBuffer.allocate(HEADER_BYTES + body.length)
                .putInt(MAGIC)
                .put(FORMAT)
                .putInt(immutable.ruleSet())
                .put(Digest.of(body).bytes())
                .put(body)
                .array();
    }

    /**
     * Decodes a state.
     *
     * @throws AzurearchException with {@link ErrorCode#CORRUPT} when the bytes are truncated or do
     *     not match their digest, {@link ErrorCode#UNKNOWN_RULE_SET} when a newer release wrote
     *     them, {@link ErrorCode#TOO_LARGE} when they exceed the limit
     */
    public static FoldState decode(byte[] bytes) {
        if (bytes.length < HEADER_BYTES) {
            throw corrupt("truncated");
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        if (buffer.getInt() != MAGIC) {
            throw corrupt("of an unknown kind");
        }
        byte format = buffer.get();
        int ruleSet = buffer.getInt();
        Digest digest = Digest.fromBuffer(buffer);
        if (format > FORMAT || ruleSet > RuleSets.NEWEST) {
            throw new AzurearchException(
                    ErrorCode.UNKNOWN_RULE_SET,
                    "unsupported state format " + format + " or rule set " + ruleSet);
        }
        byte[] body = new byte[buffer.remaining()];
        buffer.get(body);
        if (format != FORMAT || !Digest.of(body).equals(digest)) {
            throw corrupt("damaged");
        }
        byte[] uncompressed =
                Compression.decompress(body, Compression.NO_DICTIONARY, FoldLimits.STATE_BYTES);
        return new StateMapper().fromWire(ThriftBytes.read(new WireState(), uncompressed));
    }

    private static AzurearchException corrupt(String defect) {
        return new AzurearchException(ErrorCode.CORRUPT, "the stored state is " + defect);
    }
}
