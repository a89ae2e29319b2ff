package org.carawaysill.policy.fleet;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.policy.fleet.VirtualFleet.VirtualNode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Overload on random sites: a chain of services of random depth, slots, work and fan-out, with two kinds of callers'
 * requests of different rank that both need its deepest service, at 1.7 times the load that fits.
 *
 * <p>The bound of each site is computed from its parameters: the important kind is served completely if it fits, and
 * the rest of the slots of the bottleneck serve the other kind.
 */
class RandomSiteTest {

    private static final long MILLI = VirtualFleet.MILLI;
    private static final long SECOND = 1000 * MILLI;
    private static final double OVERLOAD = 1.7;
    private static final int SECONDS = 10;

    private final Map<String, Outcome> outcomes = new HashMap<>();

    private record Level(String name, int copies, int slots, long workNanos, int calls) {}

    private static Route route(String path, String service, int rank) {
        return Routes.route(path, service, true, rank, 2500, 1500);
    }

    private static List<Level> draw(SplittableRandom random) {
        List<Level> levels = new ArrayList<>();
        int depth = 2 + random.nextInt(4);
        for (int i = 0; i < depth; i++) {
            boolean last = i == depth - 1;
            int slots = last ? 4 + random.nextInt(10) : 40 + random.nextInt(60);
            int calls = last ? 0 : 1 + random.nextInt(2);
            levels.add(new Level("level-" + i, 2 + random.nextInt(2), slots, (5 + random.nextInt(20)) * MILLI, calls));
        }
        return levels;
    }

    /** Returns the slot time at each level for one request at the first. */
    private static double[] costs(List<Level> levels) {
        double[] costs = new double[levels.size()];
        double runs = 1;
        double inner = 0;
        for (int i = levels.size() - 1; i >= 0; i--) {
            Level level = levels.get(i);
            inner = level.workNanos() / 1e9 + level.calls() * inner;
            costs[i] = inner;
        }
        for (int i = 0; i < levels.size(); i++) {
            costs[i] *= runs;
            runs *= levels.get(i).calls();
        }
        return costs;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void servesWhatFitsInTheOrderOfRank(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Level> levels = draw(random);
        VirtualFleet fleet = new VirtualFleet(seed);
        List<Route> routes =
                new ArrayList<>(List.of(route("/important/", "level-0", 0), route("/other/", "level-0", 2)));
        for (int i = 1; i < levels.size(); i++) {
            routes.add(route("/" + levels.get(i).name() + "/", levels.get(i).name(), 2));
        }
        fleet.configure(routes.toArray(Route[]::new));
        List<VirtualNode> entries = start(fleet, levels);
        fleet.runUntil(3 * SECOND);
        double[] costs = costs(levels);
        double fits = Double.MAX_VALUE;
        for (int i = 0; i < levels.size(); i++) {
            fits = Math.min(fits, levels.get(i).copies() * levels.get(i).slots() / costs[i]);
        }
        double important = 0.3 * fits;
        double other = OVERLOAD * fits - important;
        int sent = offer(fleet, entries, "/important/", important, random);
        offer(fleet, entries, "/other/", other, random);
        fleet.runUntil((3 + SECONDS + 3) * SECOND);
        double servedImportant = good("/important/") / (double) sent;
        double servedOther = good("/other/") / ((fits - important) * SECONDS);
        String site = levels + " fits " + fits + ": important " + servedImportant + ", other " + servedOther;
        assertTrue(servedImportant >= 0.98, site);
        assertTrue(servedOther >= 0.88, site);
    }

    private static List<VirtualNode> start(VirtualFleet fleet, List<Level> levels) {
        List<VirtualNode> entries = new ArrayList<>();
        for (int i = 0; i < levels.size(); i++) {
            Level level = levels.get(i);
            List<String> calls = new ArrayList<>();
            for (int c = 0; c < level.calls(); c++) {
                calls.add("/" + levels.get(i + 1).name() + "/");
            }
            for (int c = 1; c <= level.copies(); c++) {
                VirtualNode node =
                        fleet.add(level.name(), "10." + c % 3 + '.' + i + '.' + c, "zone-" + c % 3, level.slots());
                Work work = new Work(level.workNanos(), calls);
                node.works.put("/" + level.name() + "/", work);
                node.works.put("/important/", work);
                node.works.put("/other/", work);
                entries.add(node);
            }
        }
        return entries;
    }

    private int offer(
            VirtualFleet fleet, List<VirtualNode> entries, String path, double rate, SplittableRandom random) {
        double at = 0;
        int count = 0;
        for (int i = 0; at < SECONDS; i++) {
            at += -Math.log(1 - random.nextDouble()) / rate;
            String name = path + i;
            count++;
            VirtualNode entry = entries.get(random.nextInt(entries.size()));
            fleet.at(
                    3 * SECOND + (long) (at * SECOND),
                    () -> fleet.send(entry, name, path, 4 * SECOND, (_, outcome) -> outcomes.put(name, outcome)));
        }
        return count;
    }

    private long good(String path) {
        return outcomes.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(path) && Outcomes.isGood(entry.getValue()))
                .count();
    }
}
