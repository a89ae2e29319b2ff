package org.carawaysill.policy.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.policy.fleet.VirtualFleet.CrashingRequest;
import org.carawaysill.policy.fleet.VirtualFleet.Run;
import org.carawaysill.policy.fleet.VirtualFleet.VirtualNode;

/**
 * A site of fourteen nodes in three availability zones, on which some requests crash the copy that runs them.
 *
 * <p>Slots, work times, target latencies and limits come from a customer's data sheet. Each request has its own path,
 * except for one popular path that twenty requests a second share. Not thread safe.
 */
final class PostingSite extends VirtualSite {

    /** The service that most requests enter. */
    static final String STATEMENTS = "statements";

    /** The service at the end of most chains of calls. */
    static final String TELLERS = "tellers";

    static final String HISTORY = "history";
    static final String POPULAR = "popular";
    static final String POSTING = "posting";

    /** The prefix of paths that crash copies. */
    static final String CRASH_PATH = "/history/crash-";

    /** A request to another service that makes a crashing call. */
    static final String CALLER_PATH = "/caller/";

    /** The name of the crashing request that it calls. */
    static final String CALLED = "called";

    /** The time from a copy's crash until a new process listens. */
    static final long ABSENCE = 3500 * MILLI;

    /** The time after which all nodes have been notified of a crash. */
    static final long CONTACT = 3 * SECOND;

    private static final long SOONEST_CRASH = 40 * MILLI;
    private static final long LATEST_CRASH = 110 * MILLI;
    private static final long CRASHING_DEADLINE = 6 * SECOND;
    private static final int CLIENT_REPEATS = 2;
    private static final int MOST_ATTEMPTS = 3;

    private static final List<Kind> KINDS = List.of(
            new Kind(HISTORY, STATEMENTS, true, 2, 6000, 1500, 6000, 320, 1),
            new Kind(POPULAR, STATEMENTS, true, 2, 6000, 1500, 6000, 20, 1),
            new Kind(POSTING, "engines", false, 0, 6000, 1500, 6000, 142, 3),
            new Kind("report", "reconcilers", true, 2, 800, 400, 1500, 134, 1),
            new Kind("balance", TELLERS, true, 1, 400, 100, 400, 142, 2));

    private static final Map<String, Work> WORKS = Map.of(
            "/history/",
            new Work(60 * MILLI, 0.8, List.of("/accrual/")),
            "/popular/",
            new Work(60 * MILLI, 0.8, List.of("/accrual/")),
            "/posting/",
            new Work(78 * MILLI, 0.8, List.of("/rates/", "/rates/")),
            "/report/",
            new Work(150 * MILLI, 0.5, List.of()),
            "/balance/",
            new Work(24 * MILLI, 0.8, List.of()),
            "/accrual/",
            new Work(15 * MILLI, 0.5, List.of("/rates/")),
            "/rates/",
            new Work(15 * MILLI, 0.5, List.of("/hold/", "/hold/", "/hold/", "/hold/", "/hold/")),
            "/hold/",
            new Work(15 * MILLI, 0.5, List.of()),
            CALLER_PATH,
            new Work(15 * MILLI, List.of(CRASH_PATH + CALLED)));

    /** Answers to the clients of ordinary requests, counted by description. */
    final Map<String, Integer> answers = new HashMap<>();

    private final Set<String> answeredNotRun = new HashSet<>();

    /** Answers to the clients of crashing requests. */
    final List<Outcome> crashingAnswers = new ArrayList<>();

    private long crashingRequests;

    PostingSite(long seed) {
        super(seed, Set.of(), KINDS);
        configure(
                Routes.route("/accrual/", "engines", true, 2, 3000, 1200, MOST_ATTEMPTS),
                Routes.route("/rates/", "reconcilers", true, 2, 2500, 1200, MOST_ATTEMPTS),
                Routes.route("/hold/", TELLERS, true, 2, 700, 300, MOST_ATTEMPTS),
                Routes.route(CALLER_PATH, "reconcilers", true, 2, 3000, 1200, MOST_ATTEMPTS));
        add(1, STATEMENTS, 193, 4);
        add(2, "engines", 257, 3);
        add(3, "reconcilers", 193, 4);
        add(4, TELLERS, 30, 3);
        nodes.forEach(node -> node.crashingRequest =
                Optional.of(new CrashingRequest(CRASH_PATH, SOONEST_CRASH, LATEST_CRASH, ABSENCE)));
        fleet.runUntil(START);
    }

    private void add(int subnet, String service, int slots, int copies) {
        for (int i = 0; i < copies; i++) {
            add(service, "10." + i % 3 + '.' + subnet + '.' + (i + 1), "zone-" + i % 3, slots, 1, WORKS);
        }
    }

    @Override
    int attempts() {
        return MOST_ATTEMPTS;
    }

    @Override
    String pathOf(Kind kind) {
        return kind.name().equals(POPULAR) ? kind.path() : kind.path() + Long.toHexString(random.nextLong());
    }

    @Override
    void answered(String name, Outcome outcome) {
        if (outcome instanceof Outcome.NotRun) {
            answeredNotRun.add(name);
        }
        String description = switch (outcome) {
            case Outcome.Answered answered -> "answered " + answered.content().status();
            case Outcome.NotRun refusal -> "not run " + refusal.reason();
            case Outcome.Unknown unknown -> "unknown " + unknown.reason();
        };
        answers.merge(description, 1, Integer::sum);
    }

    /** Sends a crashing request repeatedly, from changing nodes and under new names. */
    void crash(String name, double fromSecond, double untilSecond, double gapSeconds) {
        for (double at = fromSecond; at < untilSecond; at += gapSeconds) {
            at(at, () -> crash(CRASH_PATH + name, fleet.now, CLIENT_REPEATS));
        }
    }

    /** Repeatedly sends a request whose copy, of another service, makes a crashing call. */
    void callCrashing(double fromSecond, double untilSecond, double gapSeconds) {
        for (double at = fromSecond; at < untilSecond; at += gapSeconds) {
            at(at, () -> crash(CALLER_PATH + "1", fleet.now, CLIENT_REPEATS));
        }
    }

    /** Sends a request once to a node, and retries it as the answer permits. */
    void crash(String path, long began, int repeats) {
        VirtualNode entry = nodes.get(random.nextInt(nodes.size()));
        long left = began + CRASHING_DEADLINE - fleet.now;
        fleet.send(entry, "crashing-" + ++crashingRequests, path, left, (_, outcome) -> {
            crashingAnswers.add(outcome);
            if (repeats > 0) {
                long wait = outcome instanceof Outcome.NotRun refusal
                        ? Math.min(refusal.retryAfter().toNanos(), (began + CRASHING_DEADLINE - fleet.now) / 3)
                        : MILLI;
                fleet.at(fleet.now + wait, () -> crash(path, began, repeats - 1));
            }
        });
    }

    /** Returns the runs of a crashing request in order of time. */
    List<Run> runsOf(String name) {
        return fleet.runs.stream()
                .filter(run -> run.path().equals(CRASH_PATH + name))
                .toList();
    }

    /** Returns how many runs of a crashing request began after all nodes knew of its third crash. */
    long runsAfterTheThird(String name) {
        List<Run> runs = runsOf(name);
        if (runs.size() < 3) {
            return 0;
        }
        long known = runs.get(2).at() + LATEST_CRASH + CONTACT;
        return runs.stream().filter(run -> run.at() > known).count();
    }

    /** Returns how many copies crashed. */
    int crashes() {
        return nodes.stream().mapToInt(node -> node.crashes).sum();
    }

    /** Returns the requests that were answered with "not run" although a copy had begun to run them. */
    List<String> falselyAnsweredNotRun() {
        return fleet.runs.stream()
                .map(Run::requestName)
                .filter(answeredNotRun::contains)
                .toList();
    }

    /** Returns how many crashes some node recognised, so that it suspected requests. */
    long suspicions() {
        return nodes.stream()
                .flatMap(node -> node.log.stream())
                .filter(Decision.CopyCrashed.class::isInstance)
                .count();
    }

    /** Returns how many answers to ordinary requests had a reason for a refusal or for an unknown outcome. */
    int answersWith(String reason) {
        return answers.entrySet().stream()
                .filter(entry -> entry.getKey().endsWith(reason))
                .mapToInt(Map.Entry::getValue)
                .sum();
    }
}
