package org.carawaysill.policy.fleet.entry;

import org.carawaysill.policy.message.PeerMessage.CopyPace;
import org.carawaysill.policy.message.PeerMessage.LoadReport;

/**
 * The summed load of the copies of one service that may receive requests.
 *
 * <p>Immutable and thread safe.
 *
 * @param slots how many requests these copies can run at once
 * @param pacedSlots the part of them at copies that limit their requests per second: as many as that limit can occupy
 * @param running the requests that they run
 * @param queued the requests that wait in front of them
 */
public record ServiceLoad(double slots, double pacedSlots, double running, double queued) {

    /**
     * Creates the load of copies without a limit of requests per second.
     *
     * @param slots how many requests these copies can run at once
     * @param running the requests that they run
     * @param queued the requests that wait in front of them
     */
    public ServiceLoad(int slots, int running, int queued) {
        this(slots, 0, running, queued);
    }

    /**
     * Returns the load of one copy.
     *
     * @param copy the last load report of the copy's node
     * @return the load
     */
    public static ServiceLoad of(LoadReport copy) {
        return copy.pace()
                .map(ServiceLoad::of)
                .orElseGet(() -> new ServiceLoad(copy.limit(), copy.inFlight(), copy.queued()));
    }

    /** The requests that run at a moment say little where a limit occupies less than a slot: those asked for count. */
    private static ServiceLoad of(CopyPace pace) {
        double asked = pace.limitPerSecond() > 0 ? pace.askedPerSecond() / pace.limitPerSecond() : 1;
        return new ServiceLoad(pace.slots(), pace.slots(), asked * pace.slots(), 0);
    }

    /**
     * Adds the load of other copies.
     *
     * @param other their load
     * @return the sum
     */
    public ServiceLoad plus(ServiceLoad other) {
        return new ServiceLoad(
                slots + other.slots, pacedSlots + other.pacedSlots, running + other.running, queued + other.queued);
    }
}
