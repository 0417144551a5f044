package org.azurearch.internal.transport;

/** Leaves content as it is; for connections that TLS protects and authenticates on both sides. */
final class PlaintextSealer implements Sealer {
    private static final ReplyBinding BINDING = new ReplyBinding(0, new byte[0]);

    @Override
    public SealedRequest sealRequest(byte[] plain) {
        return new SealedRequest(plain, BINDING);
    }

    @Override
    public OpenedRequest openRequest(byte[] sealed) {
        return new OpenedRequest(sealed, BINDING);
    }

    @Override
    public byte[] sealReply(ReplyBinding pairing, byte[] plain) {
        return plain;
    }

    @Override
    public byte[] openReply(ReplyBinding pairing, byte[] sealed) {
        return sealed;
    }
}
