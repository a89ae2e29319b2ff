package org.carawaysill.policy.fleet.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carawaysill.policy.message.PeerMessage.RouteDemand;
import org.carawaysill.policy.time.Nanos;

/**
 * Measures what callers ask of this node.
 *
 * <p>Not thread safe: owned by the policy.
 */
public final class DemandMeter {

    /**
     * The time over which rates are averaged. Shorter follows a burst sooner and scatters more: summed over a fleet that
     * gets 100 requests a second of a route, half a second gives a scatter of a seventh.
     */
    private static final double MEMORY_SECONDS = 0.5;

    private static final double FORGOTTEN_RATE = 0.01;

    private final Map<DemandKey, RateMeter> offered = new HashMap<>();
    private final Map<DemandKey, RateMeter> completed = new HashMap<>();
    private long closedNanos;

    /**
     * Starts with nothing measured.
     *
     * @param now the monotonic time
     */
    public DemandMeter(long now) {
        closedNanos = now;
    }

    /**
     * Counts a caller's request.
     *
     * @param key its route, and the rank of its organisation
     */
    public void offered(DemandKey key) {
        offered.computeIfAbsent(key, _ -> new RateMeter()).add(1);
    }

    /**
     * Counts a caller's request that a copy answered.
     *
     * @param key its route, and the rank of its organisation
     */
    public void completed(DemandKey key) {
        completed.computeIfAbsent(key, _ -> new RateMeter()).add(1);
    }

    /**
     * Closes an interval of measurement.
     *
     * @param now the monotonic time
     */
    public void close(long now) {
        double seconds = (now - closedNanos) / Nanos.PER_SECOND;
        if (seconds <= 0) {
            return;
        }
        closedNanos = now;
        double weight = 1 - Math.exp(-seconds / MEMORY_SECONDS);
        close(offered, seconds, weight);
        close(completed, seconds, weight);
    }

    private static void close(Map<DemandKey, RateMeter> meters, double seconds, double weight) {
        meters.values().forEach(meter -> meter.close(seconds, weight));
        meters.values().removeIf(meter -> meter.rate() < FORGOTTEN_RATE);
    }

    /**
     * Returns the demand of each route and rank of organisations.
     *
     * @return requests a second
     */
    public List<RouteDemand> demands() {
        List<RouteDemand> demands = new ArrayList<>(offered.size());
        offered.forEach((key, meter) -> demands.add(new RouteDemand(
                key.route(),
                key.organisationRank(),
                (float) meter.rate(),
                completed.containsKey(key) ? (float) completed.get(key).rate() : 0)));
        return demands;
    }
}
