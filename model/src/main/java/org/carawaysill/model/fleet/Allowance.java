package org.carawaysill.model.fleet;

/**
 * The rate and burst of requests that an organisation may send to the whole fleet.
 *
 * <p>Invariants: the rate is positive, the burst is not negative, both are finite. Immutable and thread safe.
 *
 * @param perSecond the allowed rate, in requests per second
 * @param burst the number of requests allowed in addition, at any time
 */
public record Allowance(double perSecond, double burst) {

    public Allowance {
        if (!(perSecond > 0 && burst >= 0 && Double.isFinite(perSecond) && Double.isFinite(burst))) {
            throw new IllegalArgumentException(
                    "an allowance must have a finite positive rate and a finite burst of at least 0");
        }
    }

    /**
     * Returns how many requests are allowed within a window.
     *
     * @param seconds the length of the window
     * @return the number of requests
     */
    public double within(double seconds) {
        return perSecond * seconds + burst;
    }
}
