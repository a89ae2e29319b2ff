package org.carawaysill.policy.fleet.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carawaysill.policy.message.PeerMessage.RouteDemand;
import org.carawaysill.policy.time.Nanos;

/**
 * Measures the rates of callers' requests at this node.
 *
 * <p>Not thread safe: owned by the policy.
 */
public final class DemandMeter {

    /**
     * The time constant of the average of rates. A shorter one follows a burst sooner but scatters more: half a second
     * gives a standard deviation of a seventh for the sum over a fleet that receives 100 requests a second on a route.
     */
    private static final double AVERAGING_SECONDS = 0.5;

    private static final double NEGLIGIBLE_RATE = 0.01;

    private final Map<DemandKey, RateMeter> offered = new HashMap<>();
    private final Map<DemandKey, RateMeter> completed = new HashMap<>();
    private long closedNanos;

    /**
     * Creates a meter without measurements.
     *
     * @param now the monotonic time
     */
    public DemandMeter(long now) {
        closedNanos = now;
    }

    /**
     * Counts a caller's request.
     *
     * @param key the request's route, and the rank of its organisation
     */
    public void offered(DemandKey key) {
        offered.computeIfAbsent(key, _ -> new RateMeter()).add(1);
    }

    /**
     * Counts a caller's request that a copy answered.
     *
     * @param key the request's route, and the rank of its organisation
     */
    public void completed(DemandKey key) {
        completed.computeIfAbsent(key, _ -> new RateMeter()).add(1);
    }

    /**
     * Ends an interval of measurement and updates the rates.
     *
     * @param now the monotonic time
     */
    public void close(long now) {
        double seconds = (now - closedNanos) / Nanos.PER_SECOND;
        if (seconds <= 0) {
            return;
        }
        closedNanos = now;
        double weight = 1 - Math.exp(-seconds / AVERAGING_SECONDS);
        close(offered, seconds, weight);
        close(completed, seconds, weight);
    }

    private static void close(Map<DemandKey, RateMeter> meters, double seconds, double weight) {
        meters.values().forEach(meter -> meter.close(seconds, weight));
        meters.values().removeIf(meter -> meter.rate() < NEGLIGIBLE_RATE);
    }

    /**
     * Returns the rate of callers' requests at this node.
     *
     * @param key their route, and the rank of their organisations
     * @return requests a second
     */
    public double offeredPerSecond(DemandKey key) {
        return rate(offered, key);
    }

    /**
     * Returns the demand for each route and rank of organisations.
     *
     * @return the demands, in requests a second
     */
    public List<RouteDemand> demands() {
        List<RouteDemand> demands = new ArrayList<>(offered.size());
        offered.forEach((key, meter) -> demands.add(
                new RouteDemand(key.route(), key.organisationRank(), (float) meter.rate(), rate(completed, key))));
        return demands;
    }

    private static float rate(Map<DemandKey, RateMeter> meters, DemandKey key) {
        RateMeter meter = meters.get(key);
        return meter == null ? 0 : (float) meter.rate();
    }
}
