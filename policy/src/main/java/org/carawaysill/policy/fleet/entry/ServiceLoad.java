package org.carawaysill.policy.fleet.entry;

import org.carawaysill.policy.message.PeerMessage.LoadReport;

/**
 * What the copies of one service that may get work now are doing, summed.
 *
 * <p>Immutable and thread safe.
 *
 * @param slots requests that may be at these copies
 * @param running requests at them
 * @param queued requests that wait in front of them
 */
public record ServiceLoad(int slots, int running, int queued) {

    /**
     * Returns the load of one copy.
     *
     * @param copy what its node told last
     * @return the load
     */
    public static ServiceLoad of(LoadReport copy) {
        return new ServiceLoad(copy.limit(), copy.inFlight(), copy.queued());
    }

    /**
     * Adds other copies.
     *
     * @param other their load
     * @return the sum
     */
    public ServiceLoad plus(ServiceLoad other) {
        return new ServiceLoad(slots + other.slots, running + other.running, queued + other.queued);
    }
}
