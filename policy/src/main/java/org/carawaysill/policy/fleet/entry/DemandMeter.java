package org.carawaysill.policy.fleet.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carawaysill.policy.message.PeerMessage.RouteDemand;
import org.carawaysill.policy.message.PeerMessage.SlotUse;
import org.carawaysill.policy.time.Nanos;

/**
 * Measures what callers ask of this node, and what the slots of its copy are used for.
 *
 * <p>Invariant: a slot's time is counted for the route of the caller's request behind the work, however deep that is. Not
 * thread safe: owned by the policy.
 */
public final class DemandMeter {

    /**
     * The time over which rates are averaged. Shorter follows a burst sooner and scatters more: at 30 requests a second
     * of a route, one second gives a scatter of a fifth.
     */
    private static final double MEMORY_SECONDS = 1;

    private static final double FORGOTTEN_RATE = 0.01;

    private final Map<String, RateMeter> offered = new HashMap<>();
    private final Map<String, RateMeter> completed = new HashMap<>();
    private final Map<String, RateMeter> slots = new HashMap<>();
    private final Map<String, Integer> running = new HashMap<>();
    private long changedNanos;
    private long closedNanos;

    /**
     * Starts with nothing measured.
     *
     * @param now the monotonic time
     */
    public DemandMeter(long now) {
        changedNanos = now;
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
     * Notes that a slot of the local copy was taken.
     *
     * @param now the monotonic time
     * @param rootRoute the route of the caller's request behind the work
     */
    public void slotTaken(long now, String rootRoute) {
        accumulate(now);
        running.merge(rootRoute, 1, Integer::sum);
    }

    /**
     * Notes that a slot of the local copy was given back.
     *
     * @param now the monotonic time
     * @param rootRoute the route of the caller's request behind the work
     */
    public void slotFreed(long now, String rootRoute) {
        accumulate(now);
        running.computeIfPresent(rootRoute, (_, count) -> count > 1 ? count - 1 : null);
    }

    private void accumulate(long now) {
        double seconds = (now - changedNanos) / Nanos.PER_SECOND;
        changedNanos = now;
        running.forEach((route, count) ->
                slots.computeIfAbsent(route, _ -> new RateMeter()).add(count * seconds));
    }

    /**
     * Closes an interval of measurement.
     *
     * @param now the monotonic time
     */
    public void close(long now) {
        accumulate(now);
        double seconds = (now - closedNanos) / Nanos.PER_SECOND;
        if (seconds <= 0) {
            return;
        }
        closedNanos = now;
        double weight = 1 - Math.exp(-seconds / MEMORY_SECONDS);
        close(offered, seconds, weight);
        close(completed, seconds, weight);
        close(slots, seconds, weight);
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

    /**
     * Gives the slots in use for each caller's route.
     *
     * @return slots of the local copy, on average
     */
    public List<SlotUse> uses() {
        List<SlotUse> uses = new ArrayList<>(slots.size());
        slots.forEach((route, meter) -> uses.add(new SlotUse(route, (float) meter.rate())));
        return uses;
    }
}
