package org.carawaysill.node.memory;

import java.util.Optional;
import org.carawaysill.kernel.service.Service;
import org.carawaysill.model.request.Step;
import org.carawaysill.node.observation.StateLog;

/**
 * Orders a planned stop when the process runs out of memory.
 *
 * <p>Guards against a process that goes on without what failed: connections are closed one by one, timers no longer run,
 * and requests get no answers. Invariant: one stop is ordered at most. Thread safe.
 */
public final class MemoryFaults implements Service {

    /** The name under which the service is registered. */
    public static final String NAME = "memory-faults";

    private final Runnable orderStop;
    private boolean ordered;

    /**
     * Creates a watch that has seen no fault.
     *
     * @param orderStop orders the stop; may be called on any thread
     */
    public MemoryFaults(Runnable orderStop) {
        this.orderStop = orderStop;
    }

    @Override
    public String name() {
        return NAME;
    }

    /**
     * Orders the stop if memory ran out.
     *
     * @param cause what failed
     */
    public void check(Throwable cause) {
        if (cause instanceof OutOfMemoryError fault) {
            outOfMemory(String.valueOf(fault.getMessage()));
        }
    }

    /**
     * Orders the stop.
     *
     * @param detail what failed
     */
    public synchronized void outOfMemory(String detail) {
        if (!ordered) {
            ordered = true;
            orderStop.run();
            StateLog.fault(Step.DRAIN, Optional.empty(), "out of memory, the node stops: " + detail);
        }
    }
}
