package org.azurearch.sidecar.internal.hop;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.azurearch.sidecar.call.Attempt;
import org.azurearch.sidecar.call.AttemptFailure;
import org.azurearch.sidecar.call.BackendAnswer;
import org.azurearch.sidecar.call.HopCall;
import org.azurearch.sidecar.internal.backend.BackendDesk;
import org.azurearch.sidecar.internal.mesh.NodeDirectory;
import org.azurearch.thrift.HopFrame;
import org.azurearch.thrift.WireHopCall;

/**
 * Takes calls of other nodes for the backend server behind this one. Confined to one event loop.
 */
public final class HopServer implements HopConnection.Listener {
    private final BackendDesk mDesk;
    private final NodeDirectory.FrameHandler mOthers;
    private final Map<HopConnection, Map<Long, Attempt>> mCalls = new HashMap<>();

    /**
     * Creates a server.
     *
     * @param desk the way to the backend server behind this node
     * @param others takes frames that are not calls
     */
    public HopServer(BackendDesk desk, NodeDirectory.FrameHandler others) {
        mDesk = desk;
        mOthers = others;
    }

    @Override
    public void opened(HopConnection connection) {
        mCalls.put(connection, new HashMap<>());
    }

    @Override
    public void received(HopConnection connection, HopFrame frame) {
        if (frame.isSetCall()) {
            begin(connection, frame.getCall());
        } else if (frame.isSetCancel()) {
            Attempt attempt = calls(connection).remove(frame.getCancel().getId());
            if (attempt != null) {
                attempt.cancel();
            }
        } else {
            mOthers.received(connection, frame);
        }
    }

    /** Nobody waits any more for what came over a connection that is gone. */
    @Override
    public void closed(HopConnection connection) {
        Map<Long, Attempt> calls = mCalls.remove(connection);
        if (calls != null) {
            List<Attempt> open = new ArrayList<>(calls.values());
            open.forEach(Attempt::cancel);
        }
    }

    private void begin(HopConnection connection, WireHopCall wire) {
        HopCall call = HopWire.fromWire(wire, System.nanoTime());
        Relay relay = new Relay(connection, call.id());
        Attempt attempt = mDesk.accept(call, relay);
        if (!relay.mDone) {
            calls(connection).put(call.id(), attempt);
        }
    }

    private Map<Long, Attempt> calls(HopConnection connection) {
        return mCalls.computeIfAbsent(connection, c -> new HashMap<>());
    }

    /** Sends the outcome of a call back over the connection that it came from. */
    private final class Relay implements Attempt.Listener {
        private final HopConnection mConnection;
        private final long mId;
        private boolean mDone;

        Relay(HopConnection connection, long id) {
            mConnection = connection;
            mId = id;
        }

        @Override
        public void answered(BackendAnswer answer) {
            end();
            mConnection.send(HopFrame.answer(HopWire.toWire(mId, answer, mDesk.load())));
        }

        @Override
        public void failed(AttemptFailure failure) {
            end();
            mConnection.send(HopFrame.failure(HopWire.toWire(mId, failure, mDesk.load())));
        }

        private void end() {
            mDone = true;
            calls(mConnection).remove(mId);
        }
    }
}
