package org.carawaysill.policy.fleet.entry;

import org.carawaysill.policy.message.PeerMessage.LoadReport;

/**
 * The summed load of the copies of one service that may receive requests.
 *
 * <p>Immutable and thread safe.
 *
 * @param slots how many requests these copies can run at once
 * @param running the requests that they run
 * @param queued the requests that wait in front of them
 */
public record ServiceLoad(int slots, int running, int queued) {

    /**
     * Returns the load of one copy.
     *
     * @param copy the last load report of the copy's node
     * @return the load
     */
    public static ServiceLoad of(LoadReport copy) {
        return new ServiceLoad(copy.limit(), copy.inFlight(), copy.queued());
    }

    /**
     * Adds the load of other copies.
     *
     * @param other their load
     * @return the sum
     */
    public ServiceLoad plus(ServiceLoad other) {
        return new ServiceLoad(slots + other.slots, running + other.running, queued + other.queued);
    }
}
