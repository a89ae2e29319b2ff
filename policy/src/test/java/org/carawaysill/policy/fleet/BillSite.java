package org.carawaysill.policy.fleet;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.carawaysill.policy.fleet.mechanism.Mechanism;

/**
 * A site of 95 nodes in five availability zones, whose deepest service has six copies and is full at the usual rates:
 * two kinds of requests make eight and four short calls there, three services below the one that they enter.
 *
 * <p>Slots, speeds, work times, target latencies and limits come from a customer's data sheet. Not thread safe.
 */
final class BillSite extends VirtualSite {

    static final String DEEP = "manifests";

    private static final List<Kind> KINDS = List.of(
            new Kind("lookup", "tracker", true, 2, 800, 1500, 5000, 276, 1),
            new Kind("issue", "issuer", false, 0, 1200, 1500, 5000, 109, 3),
            new Kind("consignee", "parties", true, 2, 2000, 1000, 4000, 104, 1),
            new Kind("vessel", DEEP, true, 1, 600, 250, 1000, 78, 2));

    private static final Map<String, Work> WORKS = Map.of(
            "/lookup/", new Work(130 * MILLI, 0.8, List.of("/chain/", "/chain/"), answer(400)),
            "/issue/", new Work(170 * MILLI, 0.8, List.of("/registry/"), answer(1500)),
            "/consignee/", new Work(330 * MILLI, 0.5, List.of(), answer(6000)),
            "/vessel/", new Work(53 * MILLI, 0.8, List.of(), answer(400)),
            "/chain/", new Work(15 * MILLI, 0.5, List.of("/registry/"), answer(400)),
            "/registry/",
                    new Work(
                            15 * MILLI,
                            0.5,
                            List.of("/schedule/", "/schedule/", "/schedule/", "/schedule/"),
                            answer(400)),
            "/schedule/", new Work(33 * MILLI, 0.5, List.of(), answer(400)));

    BillSite(long seed, Set<Mechanism> disabledMechanisms) {
        super(seed, disabledMechanisms, KINDS);
        configure(
                Routes.route("/chain/", "issuer", true, 2, 1000, 1000),
                Routes.route("/registry/", "parties", true, 2, 800, 800),
                Routes.route("/schedule/", DEEP, true, 2, 300, 300));
        add("tracker", 21, new double[] {0.7, 0.7, 1.6}, WORKS, 7, 7, 7, 7, 6);
        add("issuer", 22, new double[] {0.6, 1.0, 1.4}, WORKS, 5, 5, 4, 5, 5);
        add("parties", 21, new double[] {0.7, 0.7, 1.6}, WORKS, 7, 7, 6, 5, 6);
        add(DEEP, 15, new double[] {0.7, 0.7, 1.6}, WORKS, 2, 1, 1, 1, 1);
        slowDownWhenNearlyFull(DEEP);
        fleet.runUntil(START);
    }
}
