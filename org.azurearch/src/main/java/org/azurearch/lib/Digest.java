package org.azurearch.lib;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.jspecify.annotations.Nullable;

/** A SHA-256 digest. */
public final class Digest {
    /** Length of a digest, in bytes. */
    public static final int LENGTH_BYTES = 32;

    /** The digest of the empty byte sequence. */
    public static final Digest EMPTY = Digest.of(new byte[0]);

    private static final int SHORT_NAME_CHARS = 12;

    private final byte[] mBytes;

    private Digest(byte[] bytes) {
        mBytes = bytes;
    }

    /** Computes the digest of the concatenated parts. */
    public static Digest of(byte[]... parts) {
        MessageDigest sha = sha256();
        for (byte[] part : parts) {
            sha.update(part);
        }
        return new Digest(sha.digest());
    }

    /**
     * Wraps the bytes of a digest computed elsewhere.
     *
     * @throws AzurearchException with {@link ErrorCode#BAD_NAME} if the length is wrong
     */
    public static Digest fromBytes(byte[] bytes) {
        if (bytes.length != LENGTH_BYTES) {
            throw new AzurearchException(
                    ErrorCode.BAD_NAME, "a digest has 32 bytes, not " + bytes.length);
        }
        return new Digest(bytes.clone());
    }

    /** Wraps the next {@value #LENGTH_BYTES} bytes of a buffer. */
    public static Digest fromBuffer(ByteBuffer buffer) {
        byte[] bytes = new byte[LENGTH_BYTES];
        buffer.get(bytes);
        return new Digest(bytes);
    }

    /**
     * Parses the hexadecimal form.
     *
     * @throws AzurearchException with {@link ErrorCode#BAD_NAME} if the text is malformed
     */
    public static Digest fromString(String hex) {
        try {
            return fromBytes(HexFormat.of().parseHex(hex));
        } catch (IllegalArgumentException e) {
            throw new AzurearchException(ErrorCode.BAD_NAME, "not a digest: " + hex, e);
        }
    }

    /** Returns a copy of the bytes. */
    public byte[] bytes() {
        return mBytes.clone();
    }

    /** Returns the hexadecimal form. */
    public String name() {
        return HexFormat.of().formatHex(mBytes);
    }

    /** Returns the beginning of the hexadecimal form, for logs. */
    public String shortName() {
        return name().substring(0, SHORT_NAME_CHARS);
    }

    @Override
    public boolean equals(@Nullable Object other) {
        return other instanceof Digest that && Arrays.equals(mBytes, that.mBytes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(mBytes);
    }

    @Override
    public String toString() {
        return shortName();
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
