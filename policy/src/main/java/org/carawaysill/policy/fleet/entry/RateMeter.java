package org.carawaysill.policy.fleet.entry;

/**
 * Measures a rate per second, as an exponentially weighted average.
 *
 * <p>Not thread safe: owned by the policy.
 */
final class RateMeter {

    private double sum;
    private double rate;

    void add(double amount) {
        sum += amount;
    }

    /**
     * Ends an interval and updates the rate.
     *
     * @param seconds the interval's length
     * @param weight the weight of this interval, 0 to 1
     */
    void close(double seconds, double weight) {
        rate += weight * (sum / seconds - rate);
        sum = 0;
    }

    double rate() {
        return rate;
    }
}
