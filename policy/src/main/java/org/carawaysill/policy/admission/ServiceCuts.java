package org.carawaysill.policy.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.carawaysill.model.identity.NodeName;

/**
 * Tracks the admission cut of one deeper service, as reported by its own nodes or by nodes between it and this one.
 *
 * <p>A request would certainly be refused only if no copy takes it, so the lowest of the reported cuts counts. A cut
 * stays at its full level for {@link #FULL_EFFECT_NANOS} and then falls linearly to 0 at {@link #LIFETIME_NANOS}.
 * Otherwise a cut could outlive its overload: callers that obey it send nothing, receive no newer cut, and would refuse
 * forever. As the cut falls, a few requests pass, and their answers bring the current cut.
 *
 * <p>Invariant: all levels are open if no cut was reported within the lifetime. Not thread safe.
 */
final class ServiceCuts {

    static final long FULL_EFFECT_NANOS = 400_000_000L;
    static final long LIFETIME_NANOS = 1_000_000_000L;

    private final Map<NodeName, ReportedCut> byNode = new HashMap<>();
    private final DecayedCount admitted = new DecayedCount();
    private final RetryAdvice retryAdvice = new RetryAdvice();
    private long refusals;

    void reported(long now, NodeName from, int level) {
        byNode.values().removeIf(cut -> now - cut.atNanos() >= LIFETIME_NANOS);
        byNode.put(from, new ReportedCut(level, now));
    }

    /**
     * Returns the lowest level that is admitted.
     *
     * @param now nanoseconds on the monotonic clock
     * @return the level, 0 for all
     */
    int level(long now) {
        int lowest = Integer.MAX_VALUE;
        for (ReportedCut cut : byNode.values()) {
            if (now - cut.atNanos() < LIFETIME_NANOS) {
                lowest = Math.min(lowest, cut.levelAt(now));
            }
        }
        return lowest == Integer.MAX_VALUE ? 0 : lowest;
    }

    void admitted(long now) {
        admitted.add(now);
    }

    /**
     * Records a refusal.
     *
     * @param now nanoseconds on the monotonic clock
     * @return how long the caller should wait: until the recently refused requests could have passed at the current rate
     */
    Duration refused(long now) {
        return retryAdvice.refuse(now, 0, admitted.value(now), ++refusals);
    }

    private record ReportedCut(int level, long atNanos) {

        int levelAt(long now) {
            long left = LIFETIME_NANOS - Math.max(FULL_EFFECT_NANOS, now - atNanos);
            return (int) (level * left / (LIFETIME_NANOS - FULL_EFFECT_NANOS));
        }
    }
}
