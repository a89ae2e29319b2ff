package org.carawaysill.policy.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.carawaysill.policy.fleet.VirtualFleet.VirtualNode;
import org.carawaysill.policy.fleet.summary.NodeRank;

/** Base class of tests with nodes in five availability zones that are all connected to each other. Not thread safe. */
abstract class SettledFleet {

    static final long MILLI = VirtualFleet.MILLI;
    static final long SECOND = 1000 * MILLI;
    static final long SETTLED = 8 * SECOND;
    static final String PATH = "/entry/";
    static final int ZONES = 5;

    final VirtualFleet fleet = new VirtualFleet(7);
    final List<VirtualNode> nodes = new ArrayList<>();

    /** Starts nodes of one service in five availability zones and waits until all are connected to each other. */
    final void settled(int count) {
        fleet.configure(Routes.route(PATH, "front", true, 1, 900, 500));
        for (int i = 0; i < count; i++) {
            VirtualNode node = fleet.add("front", "10." + i % ZONES + ".0." + (i + 1), "zone-" + i % ZONES, 10);
            node.works.put(PATH, new Work(20 * MILLI, List.of()));
            nodes.add(node);
        }
        fleet.runUntil(SETTLED);
    }

    final List<VirtualNode> zone(int zone) {
        return Stream.iterate(zone, i -> i < nodes.size(), i -> i + ZONES)
                .map(nodes::get)
                .toList();
    }

    /** Returns the node of a zone that ranks last as an aggregator. */
    static VirtualNode lastRanked(List<VirtualNode> zone) {
        return zone.stream()
                .max(Comparator.comparing(node -> node.name, NodeRank.ORDER))
                .orElseThrow();
    }
}
