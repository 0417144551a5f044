package org.azurearch.sidecar.internal.hop;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import org.azurearch.thrift.HopFrame;

/** Counts the frames that this node sends to its peers, and their bytes, by kind. */
public final class SentFrames {
    /** The kind of frames with records that contain strikes. */
    public static final String STRIKES = "strikes";

    /** Kinds that grow with the calls and not with the state that nodes share. */
    private static final Set<HopFrame._Fields> CALLS =
            EnumSet.of(
                    HopFrame._Fields.CALL,
                    HopFrame._Fields.ANSWER,
                    HopFrame._Fields.FAILURE,
                    HopFrame._Fields.CANCEL,
                    HopFrame._Fields.WITHDRAWAL,
                    HopFrame._Fields.SESSION,
                    HopFrame._Fields.SESSION_REPLY);

    private static final class Kind {
        private final boolean mState;
        private final Counter mFrames = new Counter();
        private final Counter mBytes = new Counter();
        private long mTakenBytes;

        Kind(boolean state) {
            mState = state;
        }
    }

    private final Map<String, Kind> mKinds = new TreeMap<>();

    /** Creates counters that start at 0. */
    public SentFrames() {
        for (HopFrame._Fields field : HopFrame._Fields.values()) {
            mKinds.put(name(field), new Kind(!CALLS.contains(field)));
        }
        mKinds.put(STRIKES, new Kind(true));
    }

    /** Registers the counters {@code peers.sent-frames.KIND} and {@code peers.sent-bytes.KIND}. */
    public void register(MetricRegistry metrics) {
        mKinds.forEach(
                (name, kind) -> {
                    metrics.register("peers.sent-frames." + name, kind.mFrames);
                    metrics.register("peers.sent-bytes." + name, kind.mBytes);
                });
    }

    /**
     * Counts a frame.
     *
     * @param bytes its size
     */
    void sent(HopFrame frame, int bytes) {
        boolean strikes = frame.isSetRecords() && frame.getRecords().isSetStrikes();
        String name = strikes ? STRIKES : name(frame.getSetField());
        Kind kind = Objects.requireNonNull(mKinds.get(name));
        kind.mFrames.inc();
        kind.mBytes.inc(bytes);
    }

    /**
     * Returns the bytes of each kind of shared state since this was last called, if they are more
     * than a limit together; nothing otherwise.
     */
    public List<String> takeStateBytes(long limit) {
        List<String> taken = new ArrayList<>();
        long total = 0;
        for (Map.Entry<String, Kind> entry : mKinds.entrySet()) {
            Kind kind = entry.getValue();
            long bytes = kind.mBytes.getCount() - kind.mTakenBytes;
            kind.mTakenBytes += bytes;
            if (kind.mState && bytes > 0) {
                total += bytes;
                taken.add(entry.getKey() + "=" + bytes);
            }
        }
        return total > limit ? taken : List.of();
    }

    private static String name(HopFrame._Fields field) {
        return field.getFieldName().toLowerCase(Locale.ROOT);
    }
}
