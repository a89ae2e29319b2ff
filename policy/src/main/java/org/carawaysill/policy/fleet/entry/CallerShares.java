package org.carawaysill.policy.fleet.entry;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carawaysill.policy.message.StateSummary.CallerGroup;

/**
 * Shares out what is admitted of a route to the nodes at which its requests enter, so that each gets the same rate, up to
 * what it asks for.
 *
 * <p>Guards against callers of one node that ask for more than all others together: with equal shares they get the
 * slots of all. While no node asks for several times the mean, all have the same share. Invariants: no node is refused
 * anything while it asks for less than the common rate; the common rate is at least an even part of what is admitted.
 * Not thread safe: owned by the policy.
 */
final class CallerShares {

    /** The factor by which the common rate may rise or fall from one plan to the next. */
    private static final double MAXIMUM_STEP = 2;

    /** Below this part of all requests, the known groups say too little: some aggregators do not tell them yet. */
    private static final double LEAST_GROUPED = 0.9;

    /**
     * The least ratio of a node's rate to the mean rate at which callers count as uneven. The rates of equal callers
     * scatter by less, and to cut those that ask for more at the moment would leave slots idle.
     */
    private static final double UNEVEN_RATIO = 3;

    private Map<DemandKey, Double> rates = Map.of();
    private Map<DemandKey, Double> newRates = new HashMap<>();

    /**
     * Returns this node's share of its own requests.
     *
     * @param key the route, and the rank of the requesting organisations
     * @param share the share that is admitted of the fleet's requests, less than 1
     * @param offered requests a second in the whole fleet
     * @param groups the nodes at which they enter
     * @param ownRate the requests a second that enter at this node
     */
    double share(DemandKey key, double share, double offered, List<CallerGroup> groups, double ownRate) {
        double grouped = 0;
        for (CallerGroup group : groups) {
            grouped += group.offeredPerSecond();
        }
        if (grouped < LEAST_GROUPED * offered || !areUneven(groups)) {
            return share;
        }
        double rate = Math.max(evenPart(groups, share * grouped), bounded(key, commonRate(groups, share * grouped)));
        newRates.put(key, rate);
        return ownRate <= rate ? 1 : rate / ownRate;
    }

    /** Returns whether the callers of some nodes ask for several times what those of a node ask for on average. */
    static boolean areUneven(List<CallerGroup> groups) {
        double offered = 0;
        long nodes = 0;
        double most = 0;
        for (CallerGroup group : groups) {
            if (group.nodes() > 0) {
                offered += group.offeredPerSecond();
                nodes += group.nodes();
                most = Math.max(most, meanRate(group));
            }
        }
        return nodes > 0 && most >= UNEVEN_RATIO * offered / nodes;
    }

    /** Returns what each node gets if all get the same, whatever the bound on changes. */
    private static double evenPart(List<CallerGroup> groups, double admitted) {
        long nodes = 0;
        for (CallerGroup group : groups) {
            nodes += group.nodes();
        }
        return nodes > 0 ? admitted / nodes : 0;
    }

    private double bounded(DemandKey key, double rate) {
        Double before = rates.get(key);
        return before == null || !Double.isFinite(before)
                ? rate
                : Math.clamp(rate, before / MAXIMUM_STEP, before * MAXIMUM_STEP);
    }

    /** Ends a plan: classes for which no share was asked in it are no longer limited. */
    void planned() {
        rates = newRates;
        newRates = new HashMap<>();
    }

    /**
     * Returns the rate that each node gets at most, so that all together get what is admitted.
     *
     * @param groups the nodes, grouped by their rates; the nodes of a group count as equal
     * @param admitted requests a second that all of them get together
     */
    static double commonRate(List<CallerGroup> groups, double admitted) {
        List<CallerGroup> ascending = new ArrayList<>(groups);
        ascending.removeIf(group -> group.nodes() <= 0);
        ascending.sort(Comparator.comparingDouble(CallerShares::meanRate));
        double left = admitted;
        long nodes = 0;
        for (CallerGroup group : ascending) {
            nodes += group.nodes();
        }
        for (CallerGroup group : ascending) {
            if (meanRate(group) * nodes >= left) {
                return left / nodes;
            }
            left -= group.offeredPerSecond();
            nodes -= group.nodes();
        }
        return Double.POSITIVE_INFINITY;
    }

    private static double meanRate(CallerGroup group) {
        return group.offeredPerSecond() / group.nodes();
    }
}
