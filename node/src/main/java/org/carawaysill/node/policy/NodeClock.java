package org.carawaysill.node.policy;

import org.carawaysill.policy.time.Moment;

/** Reads the node's monotonic clock and its wall clock. Implementations are thread safe. */
@FunctionalInterface
public interface NodeClock {

    /** The clocks of this process. */
    NodeClock SYSTEM = () -> new Moment(System.nanoTime(), System.currentTimeMillis());

    /**
     * Reads both clocks.
     *
     * @return the present moment
     */
    Moment now();
}
