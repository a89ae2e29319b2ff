package org.carawaysill.policy.fleet;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.carawaysill.policy.fleet.VirtualFleet.VirtualNode;
import org.carawaysill.policy.fleet.mechanism.Mechanism;

/**
 * A site of one service with both short and long work, with two nodes whose copies get no work: the callers
 * of one of them ask for more than those of all others together.
 *
 * <p>Not thread safe.
 */
final class CallersSite extends VirtualSite {

    static final String GREEDY = "greedy";
    static final String OTHERS = "others";
    static final String ORDER = "order";
    static final String READ = "read";

    private static final int COPIES = 5;
    private static final int SLOTS = 8;

    /** Reads a second that fill all slots: each takes 200 ms. */
    static final double FITS = COPIES * SLOTS / 0.2;

    private static final Map<String, Work> WORKS = Map.of(
            "/read/", new Work(200 * MILLI, 0.5, List.of()),
            "/order/", new Work(200 * MILLI, 0.5, List.of()),
            "/long/", new Work(700 * MILLI, 0.5, List.of()));

    /** The node at which the greedy callers enter. */
    final VirtualNode greedyEntry;

    /** Creates a site with rates in requests a second, with some mechanisms of the policy switched off. */
    CallersSite(
            long seed, Set<Mechanism> disabledMechanisms, double greedy, double others, double orders, double reads) {
        super(
                seed,
                disabledMechanisms,
                List.of(
                        new Kind(GREEDY, "work", true, 2, 1200, 900, 4000, greedy, 1),
                        new Kind(OTHERS, "work", true, 2, 1200, 900, 4000, others, 1),
                        new Kind(ORDER, "work", false, 0, 1200, 900, 4000, orders, 3),
                        new Kind(READ, "work", true, 2, 1200, 900, 4000, reads, 1)));
        configure(
                Routes.route("/long/", "work", true, 2, 5000, 2500),
                Routes.route("/calls/", "other", true, 2, 700, 300));
        for (int i = 0; i < COPIES; i++) {
            add("work", "10." + i % 3 + ".1." + (i + 1), "zone-" + i % 3, SLOTS, 1, WORKS);
        }
        greedyEntry = addOther(0);
        addOther(1);
        fleet.runUntil(START);
    }

    private VirtualNode addOther(int number) {
        add("other", "10." + number + ".2.1", "zone-" + number, SLOTS, 1, WORKS);
        return nodes.getLast();
    }

    @Override
    String pathOf(Kind kind) {
        return kind.name().equals(ORDER) ? "/order/" : "/read/";
    }

    @Override
    VirtualNode entryOf(Kind kind) {
        if (kind.name().equals(GREEDY)) {
            return greedyEntry;
        }
        if (kind.name().equals(OTHERS)) {
            List<VirtualNode> others =
                    nodes.stream().filter(node -> node != greedyEntry).toList();
            return others.get(random.nextInt(others.size()));
        }
        return super.entryOf(kind);
    }

    /** Returns the nodes that sum up the reports of the greedy callers' node. */
    List<VirtualNode> aggregators() {
        return greedyEntry.summaries.keySet().stream()
                .map(name -> fleet.nodes.get(name.value()))
                .filter(node -> node != greedyEntry)
                .toList();
    }

    void restartDeadNodes() {
        nodes.stream().filter(node -> !node.alive).forEach(VirtualNode::restart);
    }
}
