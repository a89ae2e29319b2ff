package org.carawaysill.model.fleet;

/**
 * How many requests an organisation may send to the whole fleet.
 *
 * <p>Invariants: the rate is positive, the burst is not negative, both are finite. Immutable and thread safe.
 *
 * @param perSecond requests a second
 * @param burst requests beyond that, at any one time
 */
public record Allowance(double perSecond, double burst) {

    public Allowance {
        if (!(perSecond > 0 && burst >= 0 && Double.isFinite(perSecond) && Double.isFinite(burst))) {
            throw new IllegalArgumentException("an allowance needs a positive rate and a burst of 0 or more");
        }
    }

    /**
     * Returns how many requests are allowed within a window.
     *
     * @param seconds the length of the window
     * @return requests
     */
    public double within(double seconds) {
        return perSecond * seconds + burst;
    }
}
