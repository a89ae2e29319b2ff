package org.carawaysill.policy.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.carawaysill.model.identity.NodeName;

/**
 * What one deeper service admits at present, as its nodes, or nodes above it, have reported.
 *
 * <p>A request is hopeless only if no copy takes it, so the lowest of the reported cuts counts. A cut keeps its force for
 * {@link #FULL_FORCE_NANOS} and loses it evenly until {@link #LIFETIME_NANOS}. That guards against a cut that outlives
 * its overload: callers that obey it send nothing, hear nothing, and would go on refusing for ever. As it fades, a few
 * requests pass and bring the present cut back.
 *
 * <p>Invariant: nothing heard within the lifetime means that all levels are open. Not thread safe.
 */
final class ServiceCuts {

    static final long FULL_FORCE_NANOS = 400_000_000L;
    static final long LIFETIME_NANOS = 1_000_000_000L;

    private final Map<NodeName, Heard> byNode = new HashMap<>();
    private final DecayedCount passed = new DecayedCount();
    private final RetryAdvice retryAdvice = new RetryAdvice();
    private long refusals;

    void heard(long now, NodeName from, int level) {
        byNode.values().removeIf(cut -> now - cut.atNanos() >= LIFETIME_NANOS);
        byNode.put(from, new Heard(level, now));
    }

    /**
     * Tells the lowest level that has a chance.
     *
     * @param now nanoseconds on the monotonic clock
     * @return the level, 0 for all
     */
    int level(long now) {
        int lowest = Integer.MAX_VALUE;
        for (Heard cut : byNode.values()) {
            if (now - cut.atNanos() < LIFETIME_NANOS) {
                lowest = Math.min(lowest, cut.levelAt(now));
            }
        }
        return lowest == Integer.MAX_VALUE ? 0 : lowest;
    }

    void passed(long now) {
        passed.add(now);
    }

    /**
     * Takes note of a refusal.
     *
     * @param now nanoseconds on the monotonic clock
     * @return when to come back: once what was refused here lately could have passed at the present rate
     */
    Duration refused(long now) {
        return retryAdvice.refuse(now, 0, passed.value(now), ++refusals);
    }

    private record Heard(int level, long atNanos) {

        int levelAt(long now) {
            long left = LIFETIME_NANOS - Math.max(FULL_FORCE_NANOS, now - atNanos);
            return (int) (level * left / (LIFETIME_NANOS - FULL_FORCE_NANOS));
        }
    }
}
