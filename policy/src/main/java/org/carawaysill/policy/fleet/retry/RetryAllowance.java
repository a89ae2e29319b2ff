package org.carawaysill.policy.fleet.retry;

import java.util.HashMap;
import java.util.Map;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.time.SlidingCount;

/**
 * This node's part of the retries that a service may receive in any window of time.
 *
 * <p>Guards against retries that amplify an overload: each of them costs the slots of a whole call tree, and without a
 * bound the fleet stays overloaded after the trigger has gone. The bound applies to the whole fleet and needs no
 * coordination: each node uses its part of the fixed allowance, plus the ratio of its own first attempts. Invariant: in
 * no window does this node retry more than that. Not thread safe: owned by the policy.
 */
public final class RetryAllowance {

    /** The number of parts of a window. The oldest part leaves the window as a whole, an error of at most one part. */
    private static final int PARTS = 20;

    /**
     * The part of the bound that is used: the rest covers calls that a retried request makes again, which other nodes
     * count.
     */
    private static final double PLANNED_PART = 0.7;

    private RetrySettings settings;
    private final Map<ServiceName, Window> byService = new HashMap<>();
    private int nodes = 1;

    /**
     * Creates an allowance without any counted attempts.
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
     * @param service the service that receives it
     */
    public void countFirstAttempt(long now, ServiceName service) {
        window(now, service).firstAttempts().add(now);
    }

    /**
     * Takes one retry out of the allowance.
     *
     * @param now the monotonic time
     * @param service the service that would receive it
     * @return whether a retry was left
     */
    public boolean takeRetry(long now, ServiceName service) {
        Window window = window(now, service);
        double allowed = settings.extra() * PLANNED_PART / nodes
                + settings.ratio() * PLANNED_PART * window.firstAttempts().sum(now);
        // Each node may retry once where all of them together fit the fixed allowance.
        double least = nodes <= settings.extra() ? 1 : 0;
        if (window.retries().sum(now) + 1 > Math.max(least, allowed)) {
            return false;
        }
        window.retries().add(now);
        return true;
    }

    private Window window(long now, ServiceName service) {
        return byService.computeIfAbsent(service, _ -> new Window(count(now), count(now)));
    }

    private SlidingCount count(long now) {
        return new SlidingCount(now, settings.window().toNanos() / PARTS, PARTS);
    }

    /** The attempts that were sent to one service within the window. */
    private record Window(SlidingCount firstAttempts, SlidingCount retries) {}
}
