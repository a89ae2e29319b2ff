package org.carawaysill.policy.fleet.summary;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.carawaysill.policy.message.StateSummary.CallerGroup;

/**
 * The nodes at which requests of one class enter, grouped by the power of two below their rates.
 *
 * <p>A few groups tell nearly as much about the distribution of rates as the rate of each node, whatever the number of
 * nodes. Nodes below one request a second form one group. Groups can themselves be added up. Not thread safe.
 */
final class CallerGroups {

    private final SortedMap<Integer, CallerGroup> byExponent = new TreeMap<>();

    /** Adds one node with its rate in requests a second; one without requests does not count. */
    void add(double perSecond) {
        if (perSecond > 0) {
            add(new CallerGroup(Math.max(0, Math.getExponent(perSecond)), 1, (float) perSecond));
        }
    }

    /** Adds groups of other nodes. */
    void addAll(List<CallerGroup> groups) {
        groups.forEach(this::add);
    }

    private void add(CallerGroup group) {
        byExponent.merge(
                group.exponent(),
                group,
                (one, other) -> new CallerGroup(
                        one.exponent(),
                        one.nodes() + other.nodes(),
                        one.offeredPerSecond() + other.offeredPerSecond()));
    }

    /** Returns the groups, in ascending order of their rates. */
    List<CallerGroup> list() {
        return new ArrayList<>(byExponent.values());
    }
}
