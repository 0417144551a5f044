package org.azurearch.kernel;

import org.azurearch.events.EventCode;
import org.azurearch.events.EventInfo;

/** Events of the kernel and its timers, numbers 100 to 149. */
public enum KernelEvent implements EventCode {
    /** A plug-in has started. */
    PLUGIN_STARTED(100, Level.DEBUG, "plug-in {} started"),
    /** A plug-in failed to stop. */
    PLUGIN_STOP_FAILED(101, Level.WARN, "plug-in {} failed to stop: {}"),
    /** A duty's handler failed on a message, which is dropped. */
    DUTY_FAILED(102, Level.ERROR, "duty {} failed on a message: {}"),
    /** A timer task failed. */
    TIMER_TASK_FAILED(103, Level.ERROR, "a timer task failed: {}"),
    /** A ring was full and a message was rejected; logged at most once a second for each ring. */
    RING_FULL(104, Level.WARN, "ring {} is full, rejected so far: {}");

    private final EventInfo mInfo;

    KernelEvent(int number, Level level, String message) {
        mInfo = new EventInfo(number, level, message);
    }

    @Override
    public EventInfo info() {
        return mInfo;
    }
}
