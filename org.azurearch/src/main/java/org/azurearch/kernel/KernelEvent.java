package org.azurearch.kernel;

import org.azurearch.events.EventCode;
import org.azurearch.events.EventInfo;

/** Events of the kernel and the timer service, numbers 100 to 149. */
public enum KernelEvent implements EventCode {
    /** A plug-in has started. */
    PLUGIN_STARTED(100, Level.DEBUG, "plug-in {} started"),
    /** A plug-in failed to stop. */
    PLUGIN_STOP_FAILED(101, Level.WARN, "plug-in {} failed to stop: {}"),
    /** The handler of a duty failed on a message, which is dropped. */
    DUTY_FAILED(102, Level.ERROR, "duty {} failed on a message: {}"),
    /** A timer task failed. */
    TIMER_TASK_FAILED(103, Level.ERROR, "timer task failed: {}"),
    /** A full ring rejected or dropped a message; logged at most once a second for each ring. */
    RING_FULL(104, Level.WARN, "ring {} is full; messages rejected since start: {}");

    private final EventInfo mInfo;

    KernelEvent(int number, Level level, String message) {
        mInfo = new EventInfo(number, level, message);
    }

    @Override
    public EventInfo info() {
        return mInfo;
    }
}
