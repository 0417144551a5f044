package org.azurearch.sidecar.internal.rollout;

import org.azurearch.internal.fold.ThriftBytes;
import org.azurearch.sidecar.rollout.RolloutState;
import org.azurearch.thrift.WireRolloutState;

/** Decodes states that were saved in the store. */
final class SavedStates {
    private SavedStates() {}

    /**
     * Decodes a state and adds the time since it was saved. The wall clock may have jumped, so that
     * the time is taken as at least nothing and at most the duration of the roll-out.
     */
    static RolloutState decode(byte[] value) {
        WireRolloutState wire = ThriftBytes.read(new WireRolloutState(), value);
        RolloutState state = RolloutWire.fromWire(wire);
        long age = System.currentTimeMillis() - wire.getSavedAtMillis();
        long added = Math.max(0, Math.min(age, state.durationMillis()));
        return state.at(state.elapsedMillis() + added, state.slowMillis());
    }
}
