package org.azurearch.time;

/** Reads the system clocks. */
public final class SystemTimeSource implements TimeSource {
    @Override
    public long nanos() {
        return System.nanoTime();
    }

    @Override
    public long wallMillis() {
        return System.currentTimeMillis();
    }
}
