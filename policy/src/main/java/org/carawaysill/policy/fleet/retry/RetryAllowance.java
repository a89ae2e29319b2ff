package org.carawaysill.policy.fleet.retry;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.carawaysill.model.identity.ServiceName;

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
        window(now, service).addFirst();
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
        double allowed = settings.extra() * USED_PART / nodes + settings.ratio() * USED_PART * window.firsts();
        // A single repeat is left to each node where all of them together fit the fixed allowance.
        double least = nodes <= settings.extra() ? 1 : 0;
        if (window.repeats() + 1 > Math.max(least, allowed)) {
            return false;
        }
        window.addRepeat();
        return true;
    }

    private Window window(long now, ServiceName service) {
        Window window = byService.computeIfAbsent(service, _ -> new Window());
        window.moveTo(now / (settings.window().toNanos() / PARTS));
        return window;
    }

    private static final class Window {

        private final int[] firsts = new int[PARTS];
        private final int[] repeats = new int[PARTS];
        private long part = Long.MIN_VALUE;

        void moveTo(long newPart) {
            if (part == Long.MIN_VALUE || newPart - part >= PARTS) {
                Arrays.fill(firsts, 0);
                Arrays.fill(repeats, 0);
                part = newPart;
            }
            while (part < newPart) {
                part++;
                firsts[index()] = 0;
                repeats[index()] = 0;
            }
        }

        private int index() {
            return (int) Math.floorMod(part, (long) PARTS);
        }

        void addFirst() {
            firsts[index()]++;
        }

        void addRepeat() {
            repeats[index()]++;
        }

        int firsts() {
            return sum(firsts);
        }

        int repeats() {
            return sum(repeats);
        }

        private static int sum(int[] counts) {
            int sum = 0;
            for (int count : counts) {
                sum += count;
            }
            return sum;
        }
    }
}
