package org.carawaysill.policy.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.Credential;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.policy.fleet.VirtualFleet.VirtualNode;
import org.carawaysill.policy.fleet.mechanism.Mechanism;

/**
 * Simulates a customer's site in virtual time: kinds of requests, services with copies of different speeds, and clients
 * that retry once after the given delay, and abusive ones that retry at once and more often.
 *
 * <p>Not thread safe.
 */
abstract class VirtualSite {

    static final long MILLI = VirtualFleet.MILLI;
    static final long SECOND = 1000 * MILLI;
    static final long START = 4 * SECOND;

    private static final long CLIENT_HOP = 3 * MILLI;

    /** A kind of request, as described in the data sheet. */
    record Kind(
            String name,
            String service,
            boolean idempotent,
            int rank,
            long timeout,
            long targetLatency,
            long deadline,
            double perSecond,
            double worth) {

        String path() {
            return '/' + name + '/';
        }
    }

    /** The results of the requests of one kind that began within one window. */
    static final class Tally {

        int offered;
        int inAim;
        int failed;
    }

    final List<Kind> kinds;
    final VirtualFleet fleet;
    final SplittableRandom random;
    final Map<String, List<VirtualNode>> services = new LinkedHashMap<>();
    final List<VirtualNode> nodes = new ArrayList<>();
    final Map<String, Map<Integer, Tally>> tallies = new LinkedHashMap<>();
    private double abusers;
    private int abuses;
    private long requests;
    private int hosts;

    /** Creates a site without nodes, with some mechanisms of the policy switched off. */
    VirtualSite(long seed, Set<Mechanism> disabledMechanisms, List<Kind> kinds) {
        this.kinds = kinds;
        fleet = new VirtualFleet(seed, disabledMechanisms);
        random = new SplittableRandom(seed + 1);
    }

    /** Publishes routes for the kinds of requests, and for the calls that copies make. */
    final void configure(Route... calls) {
        List<Route> routes = new ArrayList<>(List.of(calls));
        kinds.forEach(kind -> routes.add(Routes.route(
                kind.path(),
                kind.service(),
                kind.idempotent(),
                kind.rank(),
                kind.timeout(),
                kind.targetLatency(),
                attempts())));
        fleet.configure(routes.toArray(Route[]::new));
    }

    /** Returns to how many copies a request may be sent. */
    int attempts() {
        return 2;
    }

    /** Adds a copy with its node. */
    final void add(String service, String host, String zone, int slots, double speed, Map<String, Work> works) {
        VirtualNode node = fleet.add(service, host, zone, slots);
        node.speed = 1 / speed;
        node.works.putAll(works);
        services.computeIfAbsent(service, _ -> new ArrayList<>()).add(node);
        nodes.add(node);
    }

    /**
     * Adds the copies of a service with their nodes, with the given number in each availability zone and speeds in
     * rotation.
     */
    final void add(String service, int slots, double[] speeds, Map<String, Work> works, int... copiesInZone) {
        int added = 0;
        for (int zone = 0; zone < copiesInZone.length; zone++) {
            for (int i = 0; i < copiesInZone[zone]; i++) {
                double speed = speeds[added++ % speeds.length];
                add(service, "10." + zone + ".0." + ++hosts, "zone-" + zone, slots, speed, works);
            }
        }
    }

    /** Returns an answer of a number of bytes. */
    static Body answer(int bytes) {
        return Body.wrap(new byte[bytes]);
    }

    /** Makes the copies of a service slow down when less than a twentieth of their slots is free. */
    final void slowDownWhenNearlyFull(String service) {
        services.get(service).forEach(node -> {
            node.slowdownThreshold = 0.95;
            node.slowdownFactor = 1.3;
        });
    }

    /** Makes a share of the clients retry at once, with a number of additional retries. */
    void abuse(double share, int times) {
        abusers = share;
        abuses = times;
    }

    /** Schedules requests of all kinds at a multiple of their usual rates, at random times and at random nodes. */
    void offer(double factor, double fromSecond, double untilSecond) {
        for (Kind kind : kinds) {
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
        tally.offered++;
        boolean abuser = random.nextDouble() < abusers;
        attempt(new Request(kind, tally, pathOf(kind), credentialOf(kind), fleet.now, abuser), abuser ? 1 + abuses : 1);
    }
    /** Returns the credential of a new request. */
    Credential credentialOf(Kind kind) {
        return Credential.NONE;
    }

    /** Returns the node at which the next attempt of a client enters. */
    VirtualNode entryOf(Kind kind) {
        return nodes.get(random.nextInt(nodes.size()));
    }

    /** Returns the path of a new request; retries use it again. */
    String pathOf(Kind kind) {
        return kind.path();
    }

    /** A client's request, over all its attempts. */
    private record Request(Kind kind, Tally tally, String path, Credential credential, long began, boolean abuser) {}

    private void attempt(Request request, int repeats) {
        Kind kind = request.kind();
        VirtualNode entry = entryOf(kind);
        long left = request.began() + kind.deadline() * MILLI - fleet.now;
        if (left <= 0) {
            request.tally().failed++;
            return;
        }
        fleet.at(fleet.now + CLIENT_HOP, () -> {
            String name = kind.name() + '-' + ++requests;
            fleet.send(entry, name, request.path(), request.credential(), left, (_, outcome) -> {
                answered(name, outcome);
                answered(request.credential(), outcome);
                ended(request, repeats, outcome);
            });
        });
    }

    private void ended(Request request, int repeats, Outcome outcome) {
        Kind kind = request.kind();
        Tally tally = request.tally();
        long took = fleet.now + CLIENT_HOP - request.began();
        if (Outcomes.isGood(outcome)) {
            if (took <= kind.targetLatency() * MILLI) {
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
        long wait = request.abuser() || !(outcome instanceof Outcome.NotRun refusal)
                ? MILLI
                : Math.min(refusal.retryAfter().toNanos(), left / 3);
        fleet.at(fleet.now + wait, () -> attempt(request, repeats - 1));
    }

    /** Receives each answer to a client of an organisation. */
    void answered(Credential credential, Outcome outcome) {}

    /** Receives each answer to a client. */
    void answered(String name, Outcome outcome) {}

    /** Runs the simulation until a number of seconds after the start of traffic. */
    void play(double seconds) {
        fleet.runUntil(START + (long) (seconds * SECOND));
    }

    /** Schedules an action at a time after the start of traffic. */
    void at(double seconds, Runnable action) {
        fleet.at(START + (long) (seconds * SECOND), action);
    }

    /**
     * Returns the share of requests that began in some windows of two seconds and were answered within their target
     * latency, weighted by worth.
     */
    double served(int firstWindow, int lastWindow) {
        return served(kinds, firstWindow, lastWindow);
    }

    /** Returns the share of one kind's requests in some windows that were answered within their target latency. */
    double served(String name, int firstWindow, int lastWindow) {
        List<Kind> named =
                kinds.stream().filter(kind -> kind.name().equals(name)).toList();
        return served(named, firstWindow, lastWindow);
    }

    private double served(List<Kind> counted, int firstWindow, int lastWindow) {
        double offered = 0;
        double inAim = 0;
        for (Kind kind : counted) {
            for (int window = firstWindow; window <= lastWindow; window++) {
                Tally tally = tallies.getOrDefault(kind.name(), Map.of()).getOrDefault(window, new Tally());
                offered += kind.worth() * tally.offered;
                inAim += kind.worth() * tally.inAim;
            }
        }
        return offered == 0 ? 1 : inAim / offered;
    }
}
