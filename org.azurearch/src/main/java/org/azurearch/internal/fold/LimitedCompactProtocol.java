package org.azurearch.internal.fold;

import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TList;
import org.apache.thrift.protocol.TMap;
import org.apache.thrift.protocol.TProtocolException;
import org.apache.thrift.protocol.TSet;
import org.apache.thrift.protocol.TStruct;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.TTransportException;

/**
 * Thrift's compact protocol for reading bytes of another writer. Limits the depth of nesting, which
 * Thrift does not while it skips unknown fields, and the sizes of strings and containers.
 */
final class LimitedCompactProtocol extends TCompactProtocol {
    private final int mMaxDepth;
    private int mDepth;

    /**
     * Creates a protocol.
     *
     * @param transport supplies the bytes
     * @param maxSize the largest string, in bytes, and the largest container, in elements
     * @param maxDepth the deepest nesting of structs and containers
     */
    LimitedCompactProtocol(TTransport transport, int maxSize, int maxDepth) {
        super(transport, maxSize, maxSize);
        mMaxDepth = maxDepth;
    }

    @Override
    public TStruct readStructBegin() throws TException {
        enter();
        return super.readStructBegin();
    }

    @Override
    public void readStructEnd() throws TException {
        super.readStructEnd();
        mDepth--;
    }

    @Override
    public TList readListBegin() throws TException {
        enter();
        return super.readListBegin();
    }

    @Override
    public void readListEnd() throws TException {
        super.readListEnd();
        mDepth--;
    }

    @Override
    public TSet readSetBegin() throws TException {
        enter();
        return super.readSetBegin();
    }

    @Override
    public void readSetEnd() throws TException {
        super.readSetEnd();
        mDepth--;
    }

    @Override
    public TMap readMapBegin() throws TException {
        enter();
        return super.readMapBegin();
    }

    @Override
    public void readMapEnd() throws TException {
        super.readMapEnd();
        mDepth--;
    }

    /** Counts the byte that ends a struct, so that a list of structs cannot exceed its bytes. */
    @Override
    public int getMinSerializedSize(byte type) throws TTransportException {
        return type == TType.STRUCT ? 1 : super.getMinSerializedSize(type);
    }

    private void enter() throws TProtocolException {
        if (++mDepth > mMaxDepth) {
            throw new TProtocolException(
                    TProtocolException.DEPTH_LIMIT, "nested deeper than " + mMaxDepth + " levels");
        }
    }
}
