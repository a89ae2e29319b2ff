package org.carawaysill.policy.fleet.copy;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.carawaysill.model.fleet.CopyName;
import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.policy.fleet.mechanism.Mechanism;

/**
 * Chooses the copy that gets a request: the least loaded of those in reach; near and fast ones first while there is room.
 *
 * <p>Costs are in units of load: requests over slots. Not thread safe: owned by the policy.
 */
public final class CopyChoice {

    /** How much less loaded a copy on this VM counts, since it is reached without a hop. */
    private static final double LOCAL_GAIN = 0.25;

    /** How much less loaded a copy in this availability zone counts: bytes between zones cost, and 1.4 ms each way. */
    private static final double ZONE_GAIN = 0.2;

    /**
     * How much less loaded a near copy counts besides, times the part of all slots that is idle. Without it, the speed of
     * copies adds hops between zones: 2.6 in place of 1.6 for a request of a client in virtual time.
     */
    private static final double ZONE_GAIN_WHEN_IDLE = 0.5;

    /**
     * An answer of so many bytes makes that gain twice as great. A hop costs some 600 bytes by itself, and an answer of a few
     * kilobytes several times that, while a slow copy delays both alike.
     */
    private static final double BYTES_THAT_DOUBLE_IT = 1000;

    /**
     * How much more loaded a copy counts that takes twice as long as usual, times the part of all slots that is idle. Copies
     * of one service differ by up to three times, which a chain of a dozen calls adds up. In virtual time, 0.97 in place of
     * 0.94 of the requests at usual load end within their aim, and 0.95 in place of 0.93 at 1.7 times that. When no slot is
     * idle, all copies are needed, however slow, and it counts for nothing.
     */
    private static final double SPEED_WEIGHT = 1.5;

    /** A copy that takes longer than this many times the usual is no more shunned than one that takes just that. */
    private static final double MOST_SLOWNESS = 3;

    /**
     * How much more loaded a copy counts that fails all while another one fails none. Guards against a copy that answers with
     * errors at once, which shows as one copy of a service that gets a multiple of its share and does none of it: it is idle
     * and seems fast. A factor on its load does not hold it off, as no load times ten is no load. Failures count in
     * comparison, since where all copies fail alike the cause is behind them. In virtual time, with one of four copies of a
     * service failing all for seven seconds, 0.96 in place of 0.76 of the requests end within their aim.
     */
    private static final double FAILURE_WEIGHT = 4;

    /** Spreads nodes that see the same loads, so that they do not all choose the same copy at once. */
    private static final double JITTER = 0.02;

    private final NodeName self;
    private final AvailabilityZone zone;
    private final Set<Mechanism> without;
    private final RandomGenerator random;

    /**
     * Makes a chooser for one node.
     *
     * @param self this node
     * @param zone where it stands
     * @param without what is switched off
     * @param random the source of jitter
     */
    public CopyChoice(NodeName self, AvailabilityZone zone, Set<Mechanism> without, RandomGenerator random) {
        this.self = self;
        this.zone = zone;
        this.without = without;
        this.random = random;
    }

    /**
     * Chooses a copy.
     *
     * @param now the monotonic time
     * @param copies the copies that may get the request
     * @param tried copies that had it already
     * @param answerBytes how large its answer is likely to be
     * @param inReach tells whether a node can be reached
     * @return the copy, empty where none is in reach
     */
    public Optional<Copy> choose(
            long now, List<Copy> copies, Set<CopyName> tried, double answerBytes, Predicate<NodeName> inReach) {
        double idlePart = idlePart(now, copies);
        double usualSeconds = usualSeconds(copies);
        double bestSuccess = bestSuccess(now, copies);
        Copy best = null;
        double bestCost = Double.MAX_VALUE;
        for (Copy copy : copies) {
            if (!tried.contains(copy.record().copy()) && inReach.test(copy.node())) {
                double cost = copy.expectedLoad(now, without)
                        + JITTER * random.nextDouble()
                        + idlePart * slowness(copy, usualSeconds)
                        + unsoundness(now, copy, bestSuccess)
                        - nearness(copy, idlePart, answerBytes);
                if (cost < bestCost) {
                    best = copy;
                    bestCost = cost;
                }
            }
        }
        return Optional.ofNullable(best);
    }

    private double idlePart(long now, List<Copy> copies) {
        double loads = 0;
        for (Copy copy : copies) {
            loads += Math.min(1, copy.expectedLoad(now, without));
        }
        return copies.isEmpty() ? 0 : 1 - loads / copies.size();
    }

    private static double usualSeconds(List<Copy> copies) {
        double sum = 0;
        int known = 0;
        for (Copy copy : copies) {
            if (copy.workSeconds() > 0) {
                sum += copy.workSeconds();
                known++;
            }
        }
        return known == 0 ? 0 : sum / known;
    }

    private static double bestSuccess(long now, List<Copy> copies) {
        double best = 0;
        for (Copy copy : copies) {
            best = Math.max(best, copy.success(now));
        }
        return best;
    }

    private double unsoundness(long now, Copy copy, double bestSuccess) {
        return without.contains(Mechanism.SUCCESS_WEIGHT)
                ? 0
                : FAILURE_WEIGHT * Math.max(0, bestSuccess - copy.success(now));
    }

    private double slowness(Copy copy, double usualSeconds) {
        if (without.contains(Mechanism.COPY_SPEED) || copy.workSeconds() == 0 || usualSeconds == 0) {
            return SPEED_WEIGHT;
        }
        return SPEED_WEIGHT * Math.min(MOST_SLOWNESS, copy.workSeconds() / usualSeconds);
    }

    private double nearness(Copy copy, double idlePart, double answerBytes) {
        if (without.contains(Mechanism.NEARNESS) || !copy.record().zone().equals(zone)) {
            return 0;
        }
        double gain = copy.node().equals(self) ? LOCAL_GAIN : ZONE_GAIN;
        return gain + idlePart * ZONE_GAIN_WHEN_IDLE * (1 + answerBytes / BYTES_THAT_DOUBLE_IT);
    }
}
