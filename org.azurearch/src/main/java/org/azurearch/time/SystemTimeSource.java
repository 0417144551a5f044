package org.azurearch.time;

/** The clocks of the machine. */
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
