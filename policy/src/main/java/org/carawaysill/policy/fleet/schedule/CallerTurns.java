package org.carawaysill.policy.fleet.schedule;

import java.util.HashMap;
import java.util.Map;

/**
 * The work that each caller of one class has been given, by start-time fair queueing.
 *
 * <p>A caller that has been given more than the least served of those that wait, by more than a few runs, is ahead.
 * Invariants: the virtual time never falls; only callers that wait, or have been given more than the virtual time, are
 * remembered, and of the latter a bounded number. Not thread safe: owned by the policy.
 */
public final class CallerTurns {

    /** How many mean runs a caller may be given before the others, so that the order by slack rules among equals. */
    private static final double LEAD_RUNS = 4;

    private static final int MAXIMUM_CALLERS = 256;

    private final Map<String, Caller> callers = new HashMap<>();
    private double virtualNanos;
    private double meanNanos;

    private static final class Caller {

        private double givenNanos;
        private int waiting;
    }

    /**
     * Notes that a request waits.
     *
     * @param name its caller
     */
    public void waits(String name) {
        remembered(name).waiting++;
    }

    /**
     * Notes that a request waits no longer.
     *
     * @param name its caller
     */
    public void waitsNoLonger(String name) {
        remembered(name).waiting--;
        advance();
    }

    /**
     * Notes that a request got a slot.
     *
     * @param name its caller
     * @param nanos how long it is expected to hold it
     */
    public void given(String name, double nanos) {
        meanNanos = meanNanos == 0 ? nanos : meanNanos + (nanos - meanNanos) / MAXIMUM_CALLERS;
        remembered(name).givenNanos += nanos;
        advance();
    }

    private Caller remembered(String name) {
        Caller caller = callers.computeIfAbsent(name, _ -> new Caller());
        caller.givenNanos = Math.max(caller.givenNanos, virtualNanos);
        return caller;
    }

    /** The virtual time follows the least served caller that waits; while none waits, it catches up with all. */
    private void advance() {
        double least = Double.POSITIVE_INFINITY;
        double most = virtualNanos;
        for (Caller caller : callers.values()) {
            if (caller.waiting > 0) {
                least = Math.min(least, caller.givenNanos);
            }
            most = Math.max(most, caller.givenNanos);
        }
        virtualNanos = Math.max(virtualNanos, Math.min(least, most));
        callers.values().removeIf(caller -> caller.waiting <= 0 && caller.givenNanos <= virtualNanos);
        if (callers.size() > MAXIMUM_CALLERS) {
            callers.values().removeIf(caller -> caller.waiting <= 0);
        }
    }

    /**
     * Returns whether a caller has been given so much more than others that those go first.
     *
     * @param name the caller
     * @return whether it is ahead
     */
    public boolean isAhead(String name) {
        Caller caller = callers.get(name);
        return caller != null && caller.givenNanos - virtualNanos > LEAD_RUNS * meanNanos;
    }

    /**
     * Returns how much a caller would have been given once all its waiting requests run, beyond the virtual time.
     *
     * @param name the caller
     * @return the work in nanoseconds
     */
    public double claimNanos(String name) {
        Caller caller = callers.get(name);
        return caller == null ? 0 : Math.max(0, caller.givenNanos - virtualNanos) + caller.waiting * meanNanos;
    }

    /**
     * Returns how many callers are remembered.
     *
     * @return the number of callers
     */
    public int size() {
        return callers.size();
    }
}
