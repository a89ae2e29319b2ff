package org.carawaysill.policy.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.policy.fleet.VirtualFleet.VirtualNode;
import org.carawaysill.policy.fleet.VirtualFleet.Work;
import org.carawaysill.policy.fleet.mechanism.Mechanism;

/**
 * A site whose deepest service is needed by three of four kinds of requests: by one for long work, by two for chains of four
 * and eight short calls that they make two and one services further up. Clients come back once as they are told, and some at
 * once and more often.
 *
 * <p>Slots, speeds, times of work, aims and limits are those of the sheet that a customer gave. Not thread safe.
 */
final class QuoteSite {

    static final long MILLI = VirtualFleet.MILLI;
    static final long SECOND = 1000 * MILLI;
    static final long START = 4 * SECOND;
    static final String DEEP = "pricing";

    private static final int COPIES = 4;
    private static final long CLIENT_HOP = 3 * MILLI;

    /** A kind of request, as the sheet has it. */
    record Kind(
            String name,
            String service,
            boolean idempotent,
            int rank,
            long timeout,
            long aim,
            long deadline,
            double perSecond,
            double worth) {

        String path() {
            return '/' + name + '/';
        }
    }

    /** What became of the requests of one kind that began within one window. */
    static final class Tally {

        int owed;
        int inAim;
        int failed;
    }

    static final List<Kind> KINDS = List.of(
            new Kind("lookup", "portal", true, 2, 1200, 1500, 5000, 115, 1),
            new Kind("book", "deposits", false, 0, 1500, 2000, 5000, 63.1, 3),
            new Kind("issue", "quoting", false, 0, 1000, 500, 2000, 45.9, 3),
            new Kind("price", DEEP, true, 2, 5000, 2500, 10000, 26.4, 1));

    final VirtualFleet fleet;
    final SplittableRandom random;
    final Map<String, List<VirtualNode>> services = new LinkedHashMap<>();
    final List<VirtualNode> nodes = new ArrayList<>();
    final Map<String, Map<Integer, Tally>> tallies = new LinkedHashMap<>();
    private double abusers;
    private int abuses;
    private long requests;

    QuoteSite(long seed) {
        this(seed, Set.of());
    }

    /** Plays without some mechanisms of the policy. */
    QuoteSite(long seed, Set<Mechanism> without) {
        fleet = new VirtualFleet(seed, without);
        random = new SplittableRandom(seed + 1);
        List<Route> routes = new ArrayList<>();
        KINDS.forEach(kind -> routes.add(
                Routes.route(kind.path(), kind.service(), kind.idempotent(), kind.rank(), kind.timeout(), kind.aim())));
        routes.add(Routes.route("/check/", "deposits", true, 2, 1000, 1000));
        routes.add(Routes.route("/spec/", "quoting", true, 2, 800, 800));
        routes.add(Routes.route("/slot/", DEEP, true, 2, 300, 300));
        fleet.configure(routes.toArray(Route[]::new));
        add(1, "portal", 108, 0.7, 0.7, 1.6, 0.7);
        add(2, "deposits", 108, 0.6, 1.0, 1.4, 0.6);
        add(3, "quoting", 108, 0.6, 1.0, 1.4, 0.6);
        add(4, DEEP, 35, 0.5, 1.0, 1.0, 1.5);
        services.get(DEEP).forEach(node -> {
            node.knee = 0.95;
            node.kneeFactor = 1.3;
        });
        fleet.runUntil(START);
    }

    private void add(int subnet, String service, int slots, double... speeds) {
        List<VirtualNode> added = new ArrayList<>();
        for (int i = 0; i < COPIES; i++) {
            VirtualNode node = fleet.add(service, "10." + i + '.' + subnet + ".1", "zone-" + i, slots);
            node.speed = 1 / speeds[i];
            node.works.putAll(works());
            added.add(node);
        }
        services.put(service, added);
        nodes.addAll(added);
    }

    private static Map<String, Work> works() {
        return Map.of(
                "/lookup/", new Work(220 * MILLI, 0.5, List.of("/check/")),
                "/book/", new Work(290 * MILLI, 0.8, List.of("/spec/", "/spec/")),
                "/issue/", new Work(150 * MILLI, 0.8, List.of()),
                "/price/", new Work(880 * MILLI, 0.8, List.of()),
                "/check/", new Work(15 * MILLI, 0.5, List.of("/spec/")),
                "/spec/", new Work(15 * MILLI, 0.5, List.of("/slot/", "/slot/", "/slot/", "/slot/")),
                "/slot/", new Work(55 * MILLI, 0.5, List.of()));
    }

    /** Lets a share of the clients repeat so many times more, at once. */
    void abuse(double share, int times) {
        abusers = share;
        abuses = times;
    }

    /** Lets requests of all kinds come at a multiple of their usual rates, by chance and evenly over the nodes. */
    void offer(double factor, double fromSecond, double untilSecond) {
        for (Kind kind : KINDS) {
            double at = fromSecond;
            while (true) {
                at += -Math.log(1 - random.nextDouble()) / (factor * kind.perSecond());
                if (at >= untilSecond) {
                    break;
                }
                long when = START + (long) (at * SECOND);
                int window = (int) (at / 2);
                fleet.at(when, () -> begin(kind, window));
            }
        }
    }

    private void begin(Kind kind, int window) {
        Tally tally = tallies.computeIfAbsent(kind.name(), _ -> new LinkedHashMap<>())
                .computeIfAbsent(window, _ -> new Tally());
        tally.owed++;
        boolean abuser = random.nextDouble() < abusers;
        attempt(kind, tally, fleet.now, abuser, abuser ? 1 + abuses : 1);
    }

    private void attempt(Kind kind, Tally tally, long began, boolean abuser, int repeats) {
        VirtualNode entry = nodes.get(random.nextInt(nodes.size()));
        long left = began + kind.deadline() * MILLI - fleet.now;
        if (left <= 0) {
            tally.failed++;
            return;
        }
        fleet.at(
                fleet.now + CLIENT_HOP,
                () -> fleet.send(
                        entry,
                        kind.name() + '-' + ++requests,
                        kind.path(),
                        left,
                        (at, outcome) -> ended(kind, tally, began, abuser, repeats, outcome)));
    }

    private void ended(Kind kind, Tally tally, long began, boolean abuser, int repeats, Outcome outcome) {
        long took = fleet.now + CLIENT_HOP - began;
        if (Outcomes.isGood(outcome)) {
            if (took <= kind.aim() * MILLI) {
                tally.inAim++;
            }
            return;
        }
        boolean notRun = outcome instanceof Outcome.NotRun;
        if (repeats == 0 || !notRun && !kind.idempotent()) {
            tally.failed += notRun ? 0 : 1;
            return;
        }
        long left = kind.deadline() * MILLI - took;
        long wait = abuser || !(outcome instanceof Outcome.NotRun refusal)
                ? MILLI
                : Math.min(refusal.retryAfter().toNanos(), left / 3);
        fleet.at(fleet.now + wait, () -> attempt(kind, tally, began, abuser, repeats - 1));
    }

    /** Plays until so many seconds after the start of traffic. */
    void play(double seconds) {
        fleet.runUntil(START + (long) (seconds * SECOND));
    }

    /** Does something at a time after the start of traffic. */
    void at(double seconds, Runnable action) {
        fleet.at(START + (long) (seconds * SECOND), action);
    }

    /** The part of what is owed in some windows of two seconds that was answered within its aim, weighed by worth. */
    double served(int firstWindow, int lastWindow) {
        return served(KINDS, firstWindow, lastWindow);
    }

    /** The part of one kind's requests in some windows that was answered within its aim. */
    double served(String name, int firstWindow, int lastWindow) {
        List<Kind> named =
                KINDS.stream().filter(kind -> kind.name().equals(name)).toList();
        return served(named, firstWindow, lastWindow);
    }

    private double served(List<Kind> kinds, int firstWindow, int lastWindow) {
        double owed = 0;
        double inAim = 0;
        for (Kind kind : kinds) {
            for (int window = firstWindow; window <= lastWindow; window++) {
                Tally tally = tallies.getOrDefault(kind.name(), Map.of()).getOrDefault(window, new Tally());
                owed += kind.worth() * tally.owed;
                inAim += kind.worth() * tally.inAim;
            }
        }
        return owed == 0 ? 1 : inAim / owed;
    }
}
