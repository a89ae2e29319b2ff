package org.carawaysill.policy.fleet;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.carawaysill.policy.fleet.mechanism.Mechanism;

/**
 * A site whose deepest service is needed by three of four kinds of requests: by one for long work, and by two for
 * chains of four and eight short calls from one and two services further up.
 *
 * <p>Slots, speeds, work times, target latencies and limits come from a customer's data sheet. Not thread safe.
 */
final class QuoteSite extends VirtualSite {

    static final String DEEP = "pricing";

    private static final int COPIES = 4;

    private static final List<Kind> KINDS = List.of(
            new Kind("lookup", "portal", true, 2, 1200, 1500, 5000, 115, 1),
            new Kind("book", "deposits", false, 0, 1500, 2000, 5000, 63.1, 3),
            new Kind("issue", "quoting", false, 0, 1000, 500, 2000, 45.9, 3),
            new Kind("price", DEEP, true, 2, 5000, 2500, 10000, 26.4, 1));

    private static final Map<String, Work> WORKS = Map.of(
            "/lookup/", new Work(220 * MILLI, 0.5, List.of("/check/")),
            "/book/", new Work(290 * MILLI, 0.8, List.of("/spec/", "/spec/")),
            "/issue/", new Work(150 * MILLI, 0.8, List.of()),
            "/price/", new Work(880 * MILLI, 0.8, List.of()),
            "/check/", new Work(15 * MILLI, 0.5, List.of("/spec/")),
            "/spec/", new Work(15 * MILLI, 0.5, List.of("/slot/", "/slot/", "/slot/", "/slot/")),
            "/slot/", new Work(55 * MILLI, 0.5, List.of()));

    /** Creates the site with some mechanisms of the policy switched off. */
    QuoteSite(long seed, Set<Mechanism> disabledMechanisms) {
        super(seed, disabledMechanisms, KINDS);
        configure(
                Routes.route("/check/", "deposits", true, 2, 1000, 1000),
                Routes.route("/spec/", "quoting", true, 2, 800, 800),
                Routes.route("/slot/", DEEP, true, 2, 300, 300));
        add(1, "portal", 108, 0.7, 0.7, 1.6, 0.7);
        add(2, "deposits", 108, 0.6, 1.0, 1.4, 0.6);
        add(3, "quoting", 108, 0.6, 1.0, 1.4, 0.6);
        add(4, DEEP, 35, 0.5, 1.0, 1.0, 1.5);
        slowDownWhenNearlyFull(DEEP);
        fleet.runUntil(START);
    }

    private void add(int subnet, String service, int slots, double... speeds) {
        for (int i = 0; i < COPIES; i++) {
            add(service, "10." + i + '.' + subnet + ".1", "zone-" + i, slots, speeds[i], WORKS);
        }
    }
}
