package org.azurearch.sidecar.account;

import java.util.Comparator;

/** A message under way in a simulated network; the order decides between those of one time. */
record Delivery(long atMillis, long order, int from, int to, int partition, Object message)
        implements Comparable<Delivery> {
    private static final Comparator<Delivery> ORDER =
            Comparator.comparingLong(Delivery::atMillis).thenComparingLong(Delivery::order);

    /** Returns the same message, delivered at another time. */
    Delivery at(long millis) {
        return new Delivery(millis, order, from, to, partition, message);
    }

    @Override
    public int compareTo(Delivery other) {
        return ORDER.compare(this, other);
    }
}
