package org.azurearch.sidecar.internal;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which connection is closed if a listener has too many. */
class OpenConnectionsTest {
    private static final int MAX = 3;

    private final OpenConnections<FakeConnection> mConnections =
            new OpenConnections<>(MAX, new CallLog());
    private final List<String> mClosed = new ArrayList<>();

    private final class FakeConnection implements OpenConnections.Connection {
        private final String mName;
        private final long mUnusedSinceNanos;
        private final boolean mInUse;

        FakeConnection(String name, long unusedSinceNanos, boolean inUse) {
            mName = name;
            mUnusedSinceNanos = unusedSinceNanos;
            mInUse = inUse;
        }

        @Override
        public boolean inUse() {
            return mInUse;
        }

        @Override
        public long unusedSinceNanos() {
            return mUnusedSinceNanos;
        }

        @Override
        public String peer() {
            return mName;
        }

        @Override
        public void close(String reason) {
            mClosed.add(mName);
            mConnections.closed(this);
        }
    }

    private void open(String name, long unusedSinceNanos, boolean inUse) {
        mConnections.opened(new FakeConnection(name, unusedSinceNanos, inUse));
    }

    @Test
    void theOneUnusedForTheLongestTimeIsClosed() {
        open("a", 5, false);
        open("b", 3, false);
        open("c", 1, true);
        open("d", 9, false);
        open("e", 10, false);
        assertEquals(List.of("b", "a"), mClosed);
        assertEquals(MAX, mConnections.all().size());
    }

    @Test
    void newOneIsClosedIfAllOthersAreInUse() {
        open("a", 1, true);
        open("b", 2, true);
        open("c", 3, true);
        open("d", 4, false);
        assertEquals(List.of("d"), mClosed);
    }
}
