package org.azurearch.internal.spread;

import com.codahale.metrics.MetricRegistry;
import java.util.function.Consumer;
import org.azurearch.kernel.Duty;
import org.azurearch.kernel.OverflowRule;

/** The bounded queue from which the core takes its inputs, one at a time. */
interface InputRing extends AutoCloseable {
    /** The maximum number of waiting inputs. */
    int CAPACITY = 1024;

    /** Adds an input without blocking; returns false if the ring is full. */
    boolean offer(SpreadInput input);

    @Override
    void close();

    /** Returns a ring whose inputs are handled by a dedicated thread. */
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
