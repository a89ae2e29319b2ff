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
import org.carawaysill.policy.fleet.placing.Placing;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the copy that receives a request: the least loaded of the reachable ones, with a preference for near and fast
 * copies while slots are idle.
 *
 * <p>Costs are in units of load: requests divided by slots. Not thread safe: owned by the policy.
 */
public final class CopyChoice {

    /** Subtracted from the cost of a copy on this VM, since it is reached without a network hop. */
    private static final double LOCAL_GAIN = 0.25;

    /**
     * Subtracted from the cost of a copy in this availability zone: traffic between zones is charged by the byte and
     * takes 1.4 ms each way.
     */
    private static final double ZONE_GAIN = 0.2;

    /**
     * Additionally subtracted for a copy in this availability zone, multiplied by the idle part of all slots. Without
     * it, the preference for fast copies adds hops between zones: 2.6 instead of 1.6 for each client request in virtual
     * time.
     */
    private static final double ZONE_GAIN_WHEN_IDLE = 0.5;

    /**
     * An answer of this size doubles {@link #ZONE_GAIN_WHEN_IDLE}. A hop itself costs some 600 bytes, and an answer of
     * a few kilobytes several times that, while a slow copy delays small and large answers alike.
     */
    private static final double ZONE_GAIN_DOUBLING_BYTES = 1000;

    /**
     * Added to the cost of a copy that takes the usual time, in proportion for slower and faster ones, multiplied by
     * the idle part of all slots. Copies of one service differ in speed by a factor of up to three, which adds up over
     * a chain of a dozen calls. In virtual time, 0.97 instead of 0.94 of the requests complete within their target time
     * at the usual load, and 0.95 instead of 0.93 at 1.7 times that load. When no slot is idle, all copies are needed,
     * however slow, and speed does not count.
     */
    private static final double SPEED_WEIGHT = 1.5;

    /** The slowness of a copy, as a multiple of the usual time, counts up to this bound. */
    private static final double MAXIMUM_SLOWNESS = 3;

    /**
     * Added to the cost of a copy that fails all requests while another one fails none. Guards against a copy that
     * answers with errors at once: it is idle, seems fast, and so receives a multiple of its share and fulfils none of
     * it. A factor on its load would not help, since its load is zero. Failures count relative to the best copy,
     * because when all copies fail alike the cause lies deeper in the call graph. In virtual time, with one of four
     * copies of a service failing all requests for seven seconds, 0.96 instead of 0.76 of the requests complete within
     * their target time.
     */
    private static final double FAILURE_WEIGHT = 4;

    /**
     * Added to the cost of a copy that limits its requests per second, for a request that another such copy sent back.
     * Guards against a request that uses up its sends at such copies, whose loads are reported late, while another copy
     * has free slots.
     */
    private static final double SENT_BACK_PENALTY = 1;

    /** Random spread of the costs, so that nodes that see the same loads do not all choose the same copy at once. */
    private static final double JITTER = 0.02;

    /** So many draws are made for a copy that may receive a request, before all are looked at. */
    private static final int MAXIMUM_DRAWS = 3;

    private final NodeName self;
    private final AvailabilityZone zone;
    private final RandomGenerator random;
    private final boolean successCounts;
    private final boolean speedCounts;
    private final boolean nearnessCounts;
    private final boolean coldCounts;

    /** The loads of the copies in the present choice, by their places in the list. */
    private double[] loads = {};

    /**
     * Creates a chooser for one node.
     *
     * @param self this node
     * @param zone the availability zone of this node
     * @param disabledMechanisms the mechanisms that are switched off
     * @param random the source of jitter
     */
    public CopyChoice(NodeName self, AvailabilityZone zone, Set<Mechanism> disabledMechanisms, RandomGenerator random) {
        this.self = self;
        this.zone = zone;
        this.random = random;
        successCounts = !disabledMechanisms.contains(Mechanism.SUCCESS_WEIGHT);
        speedCounts = !disabledMechanisms.contains(Mechanism.COPY_SPEED);
        nearnessCounts = !disabledMechanisms.contains(Mechanism.NEARNESS);
        coldCounts = !disabledMechanisms.contains(Mechanism.COLD_FACTOR);
    }

    /**
     * Chooses a copy.
     *
     * @param now the monotonic time
     * @param placing how the request is placed
     * @param copies the copies that may receive the request
     * @param tried the copies that received earlier attempts
     * @param sentBack whether a copy sent it back because of its own limit of requests per second
     * @param answerBytes the usual size of its answer
     * @param isReachable tells whether a node is reachable
     * @return the copy, empty if none is reachable
     */
    public Optional<Copy> choose(
            long now,
            Placing placing,
            List<Copy> copies,
            Set<CopyName> tried,
            boolean sentBack,
            double answerBytes,
            Predicate<NodeName> isReachable) {
        return switch (placing) {
            case Placing.LeastLoad _ -> leastLoaded(now, copies, tried, sentBack, answerBytes, isReachable);
            case Placing.EarliestCompletion request -> earliest(now, request, copies, tried, sentBack, isReachable);
        };
    }

    /** Chooses the better one of two drawn copies; where it is late, the best of all if that is less so. */
    private Optional<Copy> earliest(
            long now,
            Placing.EarliestCompletion request,
            List<Copy> copies,
            Set<CopyName> tried,
            boolean sentBack,
            Predicate<NodeName> isReachable) {
        double bestSuccess = successCounts ? bestSuccess(now, copies) : 0;
        Copy one = draw(copies, null, tried, isReachable);
        Copy other = one == null ? null : draw(copies, one, tried, isReachable);
        Copy drawn = null;
        int lateness = 0;
        if (other != null) {
            double costOfOne = cost(now, request, one, sentBack, bestSuccess);
            double costOfOther = cost(now, request, other, sentBack, bestSuccess);
            drawn = costOfOther < costOfOne ? other : one;
            lateness = request.lateness(Math.min(costOfOne, costOfOther));
            if (lateness == 0) {
                return Optional.of(drawn);
            }
        }
        Copy best = null;
        double bestCost = 0;
        for (Copy copy : copies) {
            if (!tried.contains(copy.record().copy()) && isReachable.test(copy.node())) {
                double cost = cost(now, request, copy, sentBack, bestSuccess);
                if (best == null || cost < bestCost) {
                    best = copy;
                    bestCost = cost;
                }
            }
        }
        return Optional.ofNullable(drawn != null && request.lateness(bestCost) == lateness ? drawn : best);
    }

    private double cost(long now, Placing.EarliestCompletion request, Copy copy, boolean sentBack, double bestSuccess) {
        return request.cost(
                        copy.estimate(),
                        copy.requestsThere(),
                        copy.paceLoad(),
                        copy.slowdown(now, coldCounts),
                        successCounts ? Math.max(0, bestSuccess - copy.success(now)) : 0,
                        random.nextDouble())
                + (sentBack && copy.isPaced() ? SENT_BACK_PENALTY * request.usualSeconds() : 0);
    }

    /** Draws another copy that may receive the request, by the weights of the copies; null if a few draws find none. */
    private @Nullable Copy draw(
            List<Copy> copies, @Nullable Copy other, Set<CopyName> tried, Predicate<NodeName> isReachable) {
        double sum = 0;
        for (Copy copy : copies) {
            sum += copy == other ? 0 : copy.estimate().weight();
        }
        for (int i = 0; i < MAXIMUM_DRAWS; i++) {
            double at = random.nextDouble() * sum;
            Copy drawn = null;
            for (Copy copy : copies) {
                if (copy != other && at >= 0) {
                    at -= copy.estimate().weight();
                    drawn = copy;
                }
            }
            if (drawn != null && !tried.contains(drawn.record().copy()) && isReachable.test(drawn.node())) {
                return drawn;
            }
        }
        return null;
    }

    private Optional<Copy> leastLoaded(
            long now,
            List<Copy> copies,
            Set<CopyName> tried,
            boolean sentBack,
            double answerBytes,
            Predicate<NodeName> isReachable) {
        double idlePart = idlePart(now, copies);
        double meanWorkSeconds = speedCounts ? meanWorkSeconds(copies) : 0;
        double bestSuccess = successCounts ? bestSuccess(now, copies) : 0;
        Copy best = null;
        double bestCost = Double.MAX_VALUE;
        for (int i = 0; i < copies.size(); i++) {
            Copy copy = copies.get(i);
            if (!tried.contains(copy.record().copy()) && isReachable.test(copy.node())) {
                double cost = loads[i]
                        + JITTER * random.nextDouble()
                        + idlePart * slownessPenalty(copy, meanWorkSeconds)
                        + failurePenalty(now, copy, bestSuccess)
                        + (sentBack && copy.isPaced() ? SENT_BACK_PENALTY : 0)
                        - nearnessGain(copy, idlePart, answerBytes);
                if (cost < bestCost) {
                    best = copy;
                    bestCost = cost;
                }
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns whether another copy may receive a request, and takes it by its own limit of requests per second.
     *
     * @param copies the copies that may receive the request
     * @param tried the copies that received it, or are about to
     * @param isReachable tells whether a node is reachable
     * @return whether there is one
     */
    public boolean hasOtherWithinPace(List<Copy> copies, Set<CopyName> tried, Predicate<NodeName> isReachable) {
        for (Copy copy : copies) {
            if (copy.paceLoad() < 1 && !tried.contains(copy.record().copy()) && isReachable.test(copy.node())) {
                return true;
            }
        }
        return false;
    }

    /** Returns the idle part of all slots, and keeps the load of each copy for this choice. */
    private double idlePart(long now, List<Copy> copies) {
        if (loads.length < copies.size()) {
            loads = new double[copies.size()];
        }
        double sum = 0;
        for (int i = 0; i < copies.size(); i++) {
            loads[i] = copies.get(i).expectedLoad(now, coldCounts);
            sum += Math.min(1, loads[i]);
        }
        return copies.isEmpty() ? 0 : 1 - sum / copies.size();
    }

    private static double meanWorkSeconds(List<Copy> copies) {
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
            if (best >= 1) {
                return best;
            }
        }
        return best;
    }

    private double failurePenalty(long now, Copy copy, double bestSuccess) {
        return successCounts ? FAILURE_WEIGHT * Math.max(0, bestSuccess - copy.success(now)) : 0;
    }

    private double slownessPenalty(Copy copy, double meanWorkSeconds) {
        if (!speedCounts || copy.workSeconds() == 0 || meanWorkSeconds == 0) {
            return SPEED_WEIGHT;
        }
        return SPEED_WEIGHT * Math.min(MAXIMUM_SLOWNESS, copy.workSeconds() / meanWorkSeconds);
    }

    private double nearnessGain(Copy copy, double idlePart, double answerBytes) {
        if (!nearnessCounts || !copy.record().zone().equals(zone)) {
            return 0;
        }
        double gain = copy.node().equals(self) ? LOCAL_GAIN : ZONE_GAIN;
        return gain + idlePart * ZONE_GAIN_WHEN_IDLE * (1 + answerBytes / ZONE_GAIN_DOUBLING_BYTES);
    }
}
