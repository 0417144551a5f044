package org.azurearch.internal.transport;

/** Leaves messages unencrypted; for connections protected by mutual TLS. */
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
    public byte[] sealReply(ReplyBinding binding, byte[] plain) {
        return plain;
    }

    @Override
    public byte[] openReply(ReplyBinding binding, byte[] sealed) {
        return sealed;
    }
}
