package org.azurearch.internal.transport;

/** Leaves content as it is; for connections that TLS protects and authenticates on both sides. */
final class ClearSealer implements Sealer {
    private static final Pairing PAIRING = new Pairing(0, new byte[0]);

    @Override
    public SealedRequest sealRequest(byte[] plain) {
        return new SealedRequest(plain, PAIRING);
    }

    @Override
    public OpenedRequest openRequest(byte[] sealed) {
        return new OpenedRequest(sealed, PAIRING);
    }

    @Override
    public byte[] sealReply(Pairing pairing, byte[] plain) {
        return plain;
    }

    @Override
    public byte[] openReply(Pairing pairing, byte[] sealed) {
        return sealed;
    }
}
