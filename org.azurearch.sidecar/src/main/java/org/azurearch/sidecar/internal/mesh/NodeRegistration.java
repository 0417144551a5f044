package org.azurearch.sidecar.internal.mesh;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.Completions;
import org.azurearch.errors.ErrorCode;
import org.azurearch.events.EventLog;
import org.azurearch.internal.fold.ThriftBytes;
import org.azurearch.sidecar.SidecarEvent;
import org.azurearch.sidecar.internal.hop.HopWire;
import org.azurearch.sidecar.internal.suspect.SuspectRegistry;
import org.azurearch.sidecar.member.NodeRecord;
import org.azurearch.sidecar.store.KeyedLog;
import org.azurearch.sidecar.store.KeyedRecord;
import org.azurearch.sidecar.store.KeyedRecords;
import org.azurearch.thrift.WireNodeRecord;
import org.azurearch.thrift.WireSavedStrikes;
import org.azurearch.time.Backoff;

/**
 * Registers this node's address in the platform's store and reads those of its peers.
 *
 * <p>A node reads first, as it needs its peers to serve calls and the store may have many records
 * to write when nodes start together. Unless its address is stored already, as after a restart, it
 * writes its record and reads once more, so that of two nodes that start at the same time at least
 * one finds the other. Confined to one event loop.
 */
final class NodeRegistration {
    private static final Duration RETRY_BASE = Duration.ofMillis(150);

    /**
     * Limits the cost, as refused requests are charged too; peers also learn of this node over
     * links.
     */
    private static final Duration RETRY_MAX = Duration.ofMillis(2_000);

    /** Suffix of the key under which a node saves its backend server for its next run. */
    private static final String BACKEND_KEY = "#backend";

    /** Suffix of the key under which a node saves the strikes of contained requests. */
    private static final String STRIKES_KEY = "#strikes";

    private final KeyedLog mLog;
    private final EventLoop mLoop;
    private final NodeRecord mSelf;
    private final Consumer<NodeRecord> mRecordConsumer;
    private final Consumer<WireSavedStrikes> mStrikesConsumer;
    private final Backoff mBackoff = new Backoff(RETRY_BASE, RETRY_MAX, new SplittableRandom());
    private boolean mRead;
    private long mReadNanos;
    private boolean mListed;
    private boolean mComplete;

    NodeRegistration(
            KeyedLog log,
            EventLoop loop,
            NodeRecord self,
            Consumer<NodeRecord> recordConsumer,
            Consumer<WireSavedStrikes> strikesConsumer) {
        mLog = log;
        mLoop = loop;
        mSelf = self;
        mRecordConsumer = recordConsumer;
        mStrikesConsumer = strikesConsumer;
    }

    /**
     * Reads the records of the peers and registers this node; retries each step until it succeeds.
     */
    void start() {
        read();
    }

    /** Returns whether the records of the peers were first read some time ago. */
    boolean readBefore(long nanos) {
        return mRead && System.nanoTime() - mReadNanos > nanos;
    }

    /** Returns whether this node is registered and has read the records of its peers since then. */
    boolean complete() {
        return mComplete;
    }

    /**
     * Saves the record with this node's backend server; a failed write is logged but not retried.
     */
    void saveBackend(NodeRecord self) {
        append(mSelf.node() + BACKEND_KEY, "save backend", ThriftBytes.write(HopWire.toWire(self)));
    }

    /** Saves strikes for nodes that start later; a failed write is logged but not retried. */
    void saveStrikes(WireSavedStrikes strikes) {
        append(mSelf.node() + STRIKES_KEY, "save strikes", ThriftBytes.write(strikes));
    }

    private void append(String key, String what, byte[] value) {
        mLog.append(KeyedLog.Stream.NODES, key, value)
                .whenComplete(
                        (done, failure) -> {
                            if (failure != null) {
                                EventLog.log(
                                        SidecarEvent.STORE_DOWN,
                                        what,
                                        Completions.unwrap(failure).toString());
                            }
                        });
    }

    /** Removes this node's records, as its VM is being removed. */
    CompletableFuture<Void> remove() {
        return remove("").thenCompose(done -> remove(BACKEND_KEY));
    }

    private CompletableFuture<Void> remove(String keySuffix) {
        return mLog.append(KeyedLog.Stream.NODES, mSelf.node() + keySuffix, new byte[0]);
    }

    private void write() {
        mLog.append(KeyedLog.Stream.NODES, mSelf.node(), ThriftBytes.write(HopWire.toWire(mSelf)))
                .whenComplete(
                        (done, failure) -> {
                            if (failure != null) {
                                retry("register", failure, this::write);
                            } else {
                                mListed = true;
                                read();
                            }
                        });
    }

    private void read() {
        mLog.newest(KeyedLog.Stream.NODES)
                .whenComplete(
                        (records, failure) -> {
                            if (failure != null) {
                                retry("members", failure, this::read);
                                return;
                            }
                            mBackoff.reset();
                            mReadNanos = mRead ? mReadNanos : System.nanoTime();
                            mRead = true;
                            deliver(records);
                            if (mListed) {
                                mComplete = true;
                            } else {
                                write();
                            }
                        });
    }

    private void deliver(KeyedRecords records) {
        for (KeyedRecord record : records.records()) {
            boolean backendOfPeer =
                    record.key().endsWith(BACKEND_KEY)
                            && !record.key().equals(mSelf.node() + BACKEND_KEY);
            if (record.value().length == 0 || backendOfPeer) {
                continue;
            }
            try {
                deliverRecord(record);
            } catch (RuntimeException e) {
                EventLog.log(
                        SidecarEvent.STORE_RECORD_UNREADABLE,
                        KeyedLog.Stream.NODES,
                        record.key(),
                        record.offset(),
                        e.toString());
            }
        }
    }

    private void deliverRecord(KeyedRecord record) {
        if (record.key().endsWith(STRIKES_KEY)) {
            deliverStrikes(record.key(), ThriftBytes.read(new WireSavedStrikes(), record.value()));
        } else {
            NodeRecord node =
                    HopWire.fromWire(ThriftBytes.read(new WireNodeRecord(), record.value()));
            if (!record.key().equals(node.node())
                    && !record.key().equals(node.node() + BACKEND_KEY)) {
                throw new AzurearchException(
                        ErrorCode.CORRUPT, "the key is not that of node " + node.node());
            }
            mListed |= record.key().equals(mSelf.node()) && node.address().equals(mSelf.address());
            mRecordConsumer.accept(node);
        }
    }

    /** Delivers saved strikes, or removes them from the store if they have expired. */
    private void deliverStrikes(String key, WireSavedStrikes saved) {
        long ageMillis = System.currentTimeMillis() - saved.getSavedAtMillis();
        if (ageMillis < SuspectRegistry.LIFETIME.toMillis()) {
            mStrikesConsumer.accept(saved);
        } else {
            append(key, "remove strikes", new byte[0]);
        }
    }

    private void retry(String what, Throwable failure, Runnable again) {
        long millis = mBackoff.nextDelay().toMillis();
        EventLog.log(SidecarEvent.STORE_DOWN, what, Completions.unwrap(failure).toString());
        mLoop.schedule(again, millis, TimeUnit.MILLISECONDS);
    }
}
