package org.carawaysill.policy.fleet.copy;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.carawaysill.model.fleet.CopyName;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.policy.fleet.FleetSettings;
import org.carawaysill.policy.fleet.Mechanism;

/**
 * Chooses the copy that gets a request: the least loaded of those in reach, near ones first where that costs little.
 *
 * <p>Not thread safe: owned by the policy.
 */
public final class CopyChoice {

    /** How much less loaded a copy on this VM counts, since it is reached without a hop. */
    private static final double LOCAL_GAIN = 0.25;

    /** How much less loaded a copy in this availability zone counts: bytes between zones cost, and 1.4 ms each way. */
    private static final double ZONE_GAIN = 0.2;

    /** Spreads nodes that see the same loads, so that they do not all choose the same copy at once. */
    private static final double JITTER = 0.02;

    private final FleetSettings settings;
    private final RandomGenerator random;

    /**
     * Makes a chooser for one node.
     *
     * @param settings who this node is, and where
     * @param random the source of jitter
     */
    public CopyChoice(FleetSettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
    }

    /**
     * Chooses a copy.
     *
     * @param now the monotonic time
     * @param copies the copies that may get the request
     * @param tried copies that had it already
     * @param inReach tells whether a node can be reached
     * @return the copy, empty where none is in reach
     */
    public Optional<Copy> choose(long now, List<Copy> copies, Set<CopyName> tried, Predicate<NodeName> inReach) {
        Copy best = null;
        double bestCost = Double.MAX_VALUE;
        for (Copy copy : copies) {
            if (!tried.contains(copy.record().copy()) && inReach.test(copy.node())) {
                double cost = cost(now, copy);
                if (cost < bestCost) {
                    best = copy;
                    bestCost = cost;
                }
            }
        }
        return Optional.ofNullable(best);
    }

    private double cost(long now, Copy copy) {
        double cost = copy.expectedLoad(now, settings.without()) + JITTER * random.nextDouble();
        if (settings.without().contains(Mechanism.NEARNESS)) {
            return cost;
        }
        if (copy.node().equals(settings.self())) {
            return cost - LOCAL_GAIN;
        }
        return copy.record().zone().equals(settings.zone()) ? cost - ZONE_GAIN : cost;
    }
}
