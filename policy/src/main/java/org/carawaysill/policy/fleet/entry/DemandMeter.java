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

    private final Map<String, RateMeter> offered = new HashMap<>();
    private final Map<String, RateMeter> completed = new HashMap<>();
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
     * @param route its route
     */
    public void offered(String route) {
        offered.computeIfAbsent(route, _ -> new RateMeter()).add(1);
    }

    /**
     * Counts a caller's request that a copy answered.
     *
     * @param route its route
     */
    public void completed(String route) {
        completed.computeIfAbsent(route, _ -> new RateMeter()).add(1);
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

    private static void close(Map<String, RateMeter> meters, double seconds, double weight) {
        meters.values().forEach(meter -> meter.close(seconds, weight));
        meters.values().removeIf(meter -> meter.rate() < FORGOTTEN_RATE);
    }

    /**
     * Gives the demand of each route.
     *
     * @return requests a second
     */
    public List<RouteDemand> demands() {
        List<RouteDemand> demands = new ArrayList<>(offered.size());
        offered.forEach((route, meter) -> demands.add(new RouteDemand(
                route,
                (float) meter.rate(),
                completed.containsKey(route) ? (float) completed.get(route).rate() : 0)));
        return demands;
    }
}
