package org.azurearch.internal.spread;

import com.codahale.metrics.MetricRegistry;
import java.util.function.Consumer;
import org.azurearch.kernel.Duty;
import org.azurearch.kernel.OverflowRule;

/** The bounded ring that hands inputs to the core, one at a time. */
interface InputRing extends AutoCloseable {
    /** Most inputs that wait. */
    int CAPACITY = 1024;

    /** Puts an input into the ring without waiting; says whether there was room. */
    boolean offer(SpreadInput input);

    @Override
    void close();

    /** Returns a ring with a thread of its own. */
    static InputRing startDuty(MetricRegistry metrics, Consumer<SpreadInput> handler) {
        Duty<SpreadInput> duty =
                new Duty<>("spread", CAPACITY, OverflowRule.REJECT_NEWEST, metrics, handler);
        return new InputRing() {
            @Override
            public boolean offer(SpreadInput input) {
                return duty.offer(input);
            }

            @Override
            public void close() {
                duty.close();
            }
        };
    }
}
