package org.carawaysill.policy.fleet.retry;

import java.util.HashMap;
import java.util.Map;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.time.SlidingCount;

/**
 * This node's part of the repeats that a service may get in any window of time.
 *
 * <p>Guards against repeats that feed an overload: each of them costs the slots of a whole call tree, and without a bound
 * they show as a fleet that stays overloaded after the trigger has gone. The bound is one of the whole fleet, and holds
 * without talking: each node takes its part of the fixed allowance and the ratio of its own first attempts. Invariant: in
 * no window does this node repeat more than that. Not thread safe: owned by the policy.
 */
public final class RetryAllowance {

    /** Parts of a window; the oldest part leaves the window whole, which errs by at most one part of it. */
    private static final int PARTS = 20;

    /** What is used of the bound: the rest covers calls that a repeated run makes again, which other nodes count. */
    private static final double USED_PART = 0.7;

    private RetrySettings settings;
    private final Map<ServiceName, Window> byService = new HashMap<>();
    private int nodes = 1;

    /**
     * Starts with nothing counted.
     *
     * @param settings the bound of the fleet
     */
    public RetryAllowance(RetrySettings settings) {
        this.settings = settings;
    }

    /**
     * Changes the bound.
     *
     * @param newer the bound of the fleet
     */
    public void settings(RetrySettings newer) {
        if (!newer.window().equals(settings.window())) {
            byService.clear();
        }
        settings = newer;
    }

    /**
     * Sets how many nodes share the bound.
     *
     * @param count the number of nodes in the fleet, this one included
     */
    public void nodes(int count) {
        nodes = Math.max(1, count);
    }

    /**
     * Counts a first attempt.
     *
     * @param now the monotonic time
     * @param service where it goes
     */
    public void first(long now, ServiceName service) {
        window(now, service).firsts().add(now);
    }

    /**
     * Takes one repeat out of the allowance.
     *
     * @param now the monotonic time
     * @param service where it would go
     * @return whether there was one left
     */
    public boolean take(long now, ServiceName service) {
        Window window = window(now, service);
        double allowed = settings.extra() * USED_PART / nodes
                + settings.ratio() * USED_PART * window.firsts().sum(now);
        // A single repeat is left to each node where all of them together fit the fixed allowance.
        double least = nodes <= settings.extra() ? 1 : 0;
        if (window.repeats().sum(now) + 1 > Math.max(least, allowed)) {
            return false;
        }
        window.repeats().add(now);
        return true;
    }

    private Window window(long now, ServiceName service) {
        return byService.computeIfAbsent(service, _ -> new Window(count(now), count(now)));
    }

    private SlidingCount count(long now) {
        return new SlidingCount(now, settings.window().toNanos() / PARTS, PARTS);
    }

    /** What was sent to one service. */
    private record Window(SlidingCount firsts, SlidingCount repeats) {}
}
