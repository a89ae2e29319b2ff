package org.carawaysill.policy.fleet.entry;

/**
 * Which part of the tries of calls passes the copies of one service, and what a chain of such calls needs.
 *
 * <p>Not thread safe: owned by the policy.
 */
final class ServicePasses {

    /** With fewer tries a second, the part that passes is not known. */
    private static final double LEAST_TRIES = 2;

    /** The weight of a newly measured part: more than one plan evens out the scatter of few tries. */
    private static final double WEIGHT = 0.8;

    /** The weight of success where nothing is known any more. */
    private static final double FORGETTING = 0.1;

    /** The weight of the latest rate of first tries, which covers about the window of the bound of retries. */
    private static final double WINDOW_WEIGHT = 0.05;

    /** The part of retries beyond the first tries that the bound lets through at most, roughly. */
    private static final double RETRIED_PART = 0.2;

    private double tries;
    private double passes;
    private double callSeconds;
    private double callWeight;
    private int attempts = 1;
    private double probability = 1;
    private double usualCallSeconds;
    private double firstTries;

    /** Begins a new measurement. */
    void begin() {
        tries = 0;
        passes = 0;
        callSeconds = 0;
        callWeight = 0;
        attempts = Integer.MAX_VALUE;
    }

    /** Adds the calls of one route, in calls a second. */
    void add(double triesThere, double passesThere, double seconds, int maximumAttempts) {
        tries += triesThere;
        passes += passesThere;
        if (seconds > 0) {
            callSeconds += passesThere * seconds;
            callWeight += passesThere;
        }
        attempts = Math.min(attempts, Math.max(1, maximumAttempts));
    }

    /** Ends a measurement. */
    void end() {
        if (tries >= LEAST_TRIES) {
            probability += WEIGHT * (Math.min(1, passes / tries) - probability);
        } else {
            probability += FORGETTING * (1 - probability);
        }
        if (callWeight > 0) {
            usualCallSeconds = callSeconds / callWeight;
        }
        double first = tries / (1 + Math.min(RETRIED_PART, 1 - probability));
        firstTries = firstTries == 0 ? first : firstTries + WINDOW_WEIGHT * (first - firstTries);
        if (attempts == Integer.MAX_VALUE) {
            attempts = 1;
        }
    }

    /** Returns the probability that a try passes, 0 to 1. */
    double probability() {
        return probability;
    }

    /** Returns the first tries of calls a second, over about the window of the bound of retries. */
    double firstTries() {
        return firstTries;
    }

    /** Returns the number of calls of a chain that takes some slot seconds; 0 while one call's time is not known. */
    double calls(double slotSeconds) {
        return usualCallSeconds > 0 ? Math.max(1, slotSeconds / usualCallSeconds) : 0;
    }

    /**
     * Returns the probability that all calls of a chain pass.
     *
     * @param calls the number of calls
     * @param part the part of the needed retries that may be sent
     */
    double chance(double calls, double part) {
        return Math.pow(callChance(part), calls);
    }

    private double callChance(double part) {
        double again = (1 - probability) * part;
        return again >= 1 ? 0 : Math.min(1, probability * (1 - Math.pow(again, attempts)) / (1 - again));
    }

    /** Returns the expected number of retries of a chain that ends at the first call that fails. */
    double retriesOfChain(double calls) {
        double whole = callChance(1);
        if (whole >= 1 || probability <= 0) {
            return 0;
        }
        double begun = (1 - Math.pow(whole, calls)) / (1 - whole);
        return begun * (whole / probability - 1);
    }
}
