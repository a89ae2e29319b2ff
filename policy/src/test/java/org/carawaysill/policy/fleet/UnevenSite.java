package org.carawaysill.policy.fleet;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.carawaysill.policy.fleet.VirtualFleet.VirtualNode;
import org.carawaysill.policy.fleet.mechanism.Mechanism;

/**
 * A site whose deep service does short and long work at copies of very different speeds. Three quarters of the requests
 * come in at one of three availability zones.
 *
 * <p>Not thread safe.
 */
final class UnevenSite extends VirtualSite {

    static final String DEEP = "stock";
    static final String SHORT = "level";
    static final String LONG = "count";

    static final int SLOTS = 8;
    private static final double[] SPEEDS = {0.5, 1.6, 0.7, 0.7, 1.6};
    private static final double SLOT_SECONDS_PER_SECOND = SLOTS * (0.5 + 1.6 + 0.7 + 0.7 + 1.6);
    private static final double SHORT_SECONDS = 0.1;
    private static final double LONG_SECONDS = 0.6;

    /** At these rates all that the copies can do is asked for, one half of it short and the other long work. */
    private static final List<Kind> KINDS = List.of(
            new Kind(SHORT, DEEP, true, 0, 1200, 600, 1200, SLOT_SECONDS_PER_SECOND / 2 / SHORT_SECONDS, SHORT_SECONDS),
            new Kind(LONG, DEEP, true, 0, 5000, 2500, 5000, SLOT_SECONDS_PER_SECOND / 2 / LONG_SECONDS, LONG_SECONDS));

    private static final Map<String, Work> WORKS = Map.of(
            "/level/", new Work((long) (SHORT_SECONDS * SECOND), 0.5, List.of()),
            "/count/", new Work((long) (LONG_SECONDS * SECOND), 0.5, List.of()));

    private static final double SHARE_OF_BUSY_ZONE = 0.75;

    private final List<VirtualNode> inBusyZone;
    private final List<VirtualNode> elsewhere;

    /** Creates a site with a number of nodes beside copies that do none of the work. */
    UnevenSite(long seed, Set<Mechanism> disabledMechanisms, int others) {
        super(seed, disabledMechanisms, KINDS);
        configure();
        for (int i = 0; i < SPEEDS.length; i++) {
            add(DEEP, "10." + i % 3 + ".1." + i, "zone-" + i % 3, SLOTS, SPEEDS[i], WORKS);
        }
        for (int i = 0; i < others; i++) {
            add("front", "10." + i % 3 + ".2." + i, "zone-" + i % 3, SLOTS, 1, WORKS);
        }
        inBusyZone = nodes.stream()
                .filter(node -> node.name.value().startsWith("10.0."))
                .toList();
        elsewhere = nodes.stream().filter(node -> !inBusyZone.contains(node)).toList();
        fleet.runUntil(START);
    }

    @Override
    VirtualNode entryOf(Kind kind) {
        List<VirtualNode> from = random.nextDouble() < SHARE_OF_BUSY_ZONE ? inBusyZone : elsewhere;
        return from.get(random.nextInt(from.size()));
    }
}
