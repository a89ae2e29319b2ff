package org.carawaysill.policy.fleet.entry;

/**
 * An amount for each second, averaged with weights that fall off with age.
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
     * Closes an interval.
     *
     * @param seconds its length
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
