package org.carawaysill.policy.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how long requests of each operation take at this hop, from their start at the copy to their answer.
 *
 * <p>Mean and mean deviation are tracked as TCP tracks its round-trip time (RFC 6298). The lower end of the usual range
 * is the mean minus the deviation: a request with less time left than that is unlikely to finish.
 *
 * <p>An estimate that is not confirmed halves with each {@link #HALVING_NANOS}. Otherwise one slow period could make
 * every request look too late; none would run, and no measurement would ever correct the estimate.
 *
 * <p>Not thread safe.
 */
final class HopTimes {

    private static final double MEAN_GAIN = 1.0 / 8;
    private static final double DEVIATION_GAIN = 1.0 / 4;
    private static final int SLOW_DEVIATIONS = 2;
    private static final long HALVING_NANOS = 500_000_000L;
    private static final int LONGEST_SHIFT = 62;

    private final Map<String, Estimate> byOperation = new HashMap<>();

    void measured(long now, String operation, long nanos) {
        byOperation.computeIfAbsent(operation, name -> new Estimate(nanos)).learn(now, nanos);
    }

    /**
     * Records a request that ended without an answer and would have taken at least as long.
     *
     * @param now nanoseconds on the monotonic clock
     * @param operation the operation's name
     * @param nanos how long it had run
     */
    void measuredAtLeast(long now, String operation, long nanos) {
        Estimate estimate = byOperation.get(operation);
        if (estimate != null && nanos > estimate.mean) {
            measured(now, operation, nanos);
        }
    }

    /**
     * Returns the lower end of an operation's usual time.
     *
     * @param now nanoseconds on the monotonic clock
     * @param operation the operation's name
     * @return nanoseconds, 0 if nothing is known
     */
    long lowerNanos(long now, String operation) {
        Estimate estimate = byOperation.get(operation);
        return estimate == null ? 0 : estimate.decayed(now, Math.max(0, estimate.mean - estimate.deviation));
    }

    /**
     * Returns the upper end of an operation's usual time.
     *
     * @param now nanoseconds on the monotonic clock
     * @param operation the operation's name
     * @return nanoseconds, 0 if nothing is known
     */
    long upperNanos(long now, String operation) {
        Estimate estimate = byOperation.get(operation);
        return estimate == null ? 0 : estimate.decayed(now, estimate.mean + SLOW_DEVIATIONS * estimate.deviation);
    }

    private static final class Estimate {
        private double mean;
        private double deviation;
        private long confirmedNanos;

        Estimate(double first) {
            mean = first;
            deviation = first / 2;
        }

        void learn(long now, long nanos) {
            double error = nanos - mean;
            mean += MEAN_GAIN * error;
            deviation += DEVIATION_GAIN * (Math.abs(error) - deviation);
            confirmedNanos = now;
        }

        long decayed(long now, double nanos) {
            long halvings = Math.min(LONGEST_SHIFT, (now - confirmedNanos) / HALVING_NANOS);
            return (long) nanos >> halvings;
        }
    }
}
