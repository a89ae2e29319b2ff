package org.carawaysill.policy.fleet.schedule;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * How long requests of each route recently held a slot of the copy, calls included.
 *
 * <p>Invariants: a route that has not run for {@link #EXPIRY_NANOS} is unknown; the number of routes is bounded. Not
 * thread safe: owned by the policy.
 */
public final class RouteTimes {

    /** The weight of one more run in the mean, of about the last hundred: times at one copy differ by a factor of ten. */
    private static final double RUN_WEIGHT = 0.01;

    /** The least number of runs before the shortest of them says how long a run takes at least. */
    private static final int MINIMUM_RUNS = 20;

    private static final long EXPIRY_NANOS = Duration.ofSeconds(10).toNanos();

    /** The shortest run is that of the present span of this length and of the one before. */
    private static final long SPAN_NANOS = EXPIRY_NANOS / 2;

    /** Bounds the memory where operators rename routes frequently. */
    private static final int MAXIMUM_ROUTES = 256;

    private final Map<String, Times> byRoute = new HashMap<>();

    /**
     * Adds a run that the copy answered.
     *
     * @param now the monotonic time
     * @param route the route
     * @param nanos how long it held its slot
     * @param done whether the copy fulfilled it; failures may be quick, and do not show how long a run takes at least
     */
    public void add(long now, String route, long nanos, boolean done) {
        if (byRoute.size() >= MAXIMUM_ROUTES && !byRoute.containsKey(route)) {
            byRoute.clear();
        }
        byRoute.computeIfAbsent(route, _ -> new Times(now)).add(now, nanos, done);
    }

    /**
     * Returns the mean time of a route.
     *
     * @param now the monotonic time
     * @param route the route
     * @return nanoseconds, 0 while unknown
     */
    public long meanNanos(long now, String route) {
        Times times = byRoute.get(route);
        return times == null || times.isExpired(now) ? 0 : (long) times.mean;
    }

    /**
     * Returns a time that no recent run of a route fell short of.
     *
     * @param now the monotonic time
     * @param route the route
     * @return nanoseconds, 0 while unknown
     */
    public long leastNanos(long now, String route) {
        Times times = byRoute.get(route);
        return times == null || times.isExpired(now) ? 0 : times.least(now);
    }

    /** Discards all times: the copy's process is another. */
    public void reset() {
        byRoute.clear();
    }

    private static final class Times {

        private double mean;
        private long runs;
        private long lastNanos;
        private long spanBeganNanos;
        private long present = Long.MAX_VALUE;
        private long before = Long.MAX_VALUE;
        private int presentRuns;
        private int runsBefore;

        Times(long now) {
            lastNanos = now;
            spanBeganNanos = now;
        }

        boolean isExpired(long now) {
            return now - lastNanos > EXPIRY_NANOS;
        }

        void add(long now, long nanos, boolean done) {
            if (isExpired(now)) {
                runs = 0;
            }
            lastNanos = now;
            runs++;
            mean += Math.max(RUN_WEIGHT, 1.0 / runs) * (nanos - mean);
            turn(now);
            if (done) {
                present = Math.min(present, nanos);
                presentRuns++;
            }
        }

        private void turn(long now) {
            if (now - spanBeganNanos >= SPAN_NANOS) {
                boolean isNext = now - spanBeganNanos < 2 * SPAN_NANOS;
                before = isNext ? present : Long.MAX_VALUE;
                runsBefore = isNext ? presentRuns : 0;
                present = Long.MAX_VALUE;
                presentRuns = 0;
                spanBeganNanos = now;
            }
        }

        long least(long now) {
            turn(now);
            return presentRuns + runsBefore < MINIMUM_RUNS ? 0 : Math.min(present, before);
        }
    }
}
