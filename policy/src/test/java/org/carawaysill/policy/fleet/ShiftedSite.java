package org.carawaysill.policy.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.carawaysill.model.fleet.Organisation;
import org.carawaysill.model.fleet.Organisations;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.model.request.Credential;
import org.carawaysill.model.request.Outcome;

/**
 * A site of 58 nodes in three availability zones, whose deepest service has five copies: bills make eight calls there
 * and lookups four, in addition to short reads that go there directly and are worth most for their time. The clients
 * belong to organisations of two ranks.
 *
 * <p>Slots, speeds, work times, target latencies and limits come from a customer's data sheet. Not thread safe.
 */
final class ShiftedSite extends VirtualSite {

    static final String DEEP = "manifests";

    private static final int ORGANISATIONS = 24;
    private static final int RANKS = 2;

    private static final List<Kind> KINDS = List.of(
            new Kind("lookup", "tracker", true, 2, 800, 1500, 5000, 331, 1),
            new Kind("issue", "issuer", false, 0, 1000, 1500, 5000, 393, 3),
            new Kind("consignee", "parties", true, 2, 1500, 800, 3000, 124, 1),
            new Kind("vessel", DEEP, true, 1, 600, 150, 600, 279, 2));

    private static final Map<String, Work> WORKS = Map.of(
            "/lookup/", new Work(120 * MILLI, 0.8, List.of("/chain/"), answer(1500)),
            "/issue/", new Work(160 * MILLI, 0.5, List.of("/registry/", "/registry/"), answer(400)),
            "/consignee/", new Work(300 * MILLI, 0.8, List.of(), answer(6000)),
            "/vessel/", new Work(48 * MILLI, 0.8, List.of(), answer(400)),
            "/chain/", new Work(15 * MILLI, 0.5, List.of("/registry/"), answer(400)),
            "/registry/",
                    new Work(
                            15 * MILLI,
                            0.5,
                            List.of("/schedule/", "/schedule/", "/schedule/", "/schedule/"),
                            answer(400)),
            "/schedule/", new Work(30 * MILLI, 0.5, List.of(), answer(400)));

    private final List<Credential> credentials = new ArrayList<>();
    private final Map<Credential, Tries> tries = new HashMap<>();
    /** The attempts of one organisation and their results. */
    private static final class Tries {

        private int sent;
        private int good;
    }

    ShiftedSite(long seed) {
        super(seed, Set.of(), KINDS);
        fleet.organisations = Optional.of(new Organisations(organisations()));
        configure(
                called("/chain/", "issuer", 2500, 1000),
                called("/registry/", "parties", 2000, 800),
                called("/schedule/", DEEP, 700, 300));
        double[] speeds = {0.5, 1, 1, 1.5};
        add("tracker", 69, speeds, WORKS, 6, 4, 4);
        add("issuer", 40, new double[] {0.6, 1, 1.4}, WORKS, 9, 9, 6);
        add("parties", 64, speeds, WORKS, 6, 5, 4);
        add(DEEP, 34, speeds, WORKS, 2, 2, 1);
        slowDownWhenNearlyFull(DEEP);
        fleet.runUntil(START);
    }

    private static Route called(String path, String service, long timeout, long targetLatency) {
        return Routes.withoutKey(Routes.route(path, service, true, 1, timeout, targetLatency));
    }

    private List<Organisation> organisations() {
        List<Organisation> organisations = new ArrayList<>();
        for (int i = 0; i < ORGANISATIONS; i++) {
            String name = "organisation-" + i;
            credentials.add(TestKeys.key(name));
            organisations.add(TestKeys.organisation(name, i % RANKS, Optional.empty(), name));
        }
        return organisations;
    }

    @Override
    Credential credentialOf(Kind kind) {
        return credentials.get(random.nextInt(credentials.size()));
    }

    @Override
    void answered(Credential credential, Outcome outcome) {
        Tries of = tries.computeIfAbsent(credential, _ -> new Tries());
        of.sent++;
        of.good += Outcomes.isGood(outcome) ? 1 : 0;
    }

    /** Returns the share of all attempts that a copy answered. */
    double goodOfAll() {
        double sent = tries.values().stream().mapToInt(each -> each.sent).sum();
        return tries.values().stream().mapToInt(each -> each.good).sum() / sent;
    }

    /** Returns the share of answered attempts of the organisation with the smallest one. */
    double goodOfTheWorst() {
        return tries.values().stream()
                .mapToDouble(each -> each.good / (double) each.sent)
                .min()
                .orElseThrow();
    }
}
