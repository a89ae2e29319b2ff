package org.carawaysill.policy.ownership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.carawaysill.model.identity.RequestIdentifier;
import org.carawaysill.model.request.AnswerContent;
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;

/**
 * Simulates clients that mint identifiers by their own clocks, repeat them at every node, and record what ran.
 *
 * <p>Checked invariants: an identifier has at most one claim that was not released; only an identifier without one is
 * reported as not run; a known outcome is the recorded one. Not thread safe.
 */
final class SimulatedClients {

    private final OwnershipWorld world;
    private final List<Sent> sent = new ArrayList<>();
    private final Map<RequestIdentifier, Integer> runs = new HashMap<>();
    private final Map<RequestIdentifier, Outcome> answers = new HashMap<>();
    private long granted;

    private record Sent(RequestKey key, long firstReal) {}

    SimulatedClients(OwnershipWorld world) {
        this.world = world;
    }

    long granted() {
        return granted;
    }

    RequestKey mint() {
        long clockError = world.random.nextInt(4) == 0 ? world.random.nextLong(-2_000, 2_000) : 0;
        long millis = SimulatedNode.wallMillis(world.real()) + clockError;
        OptionalLong minted = world.random.nextInt(5) == 0 ? OptionalLong.empty() : OptionalLong.of(millis);
        RequestKey key =
                new RequestKey(new RequestIdentifier(world.random.nextLong(), world.random.nextLong()), minted);
        sent.add(new Sent(key, world.real()));
        return key;
    }

    /** Repeats one of the last identifiers, but none after the key lifetime, as the contract requires of callers. */
    Optional<RequestKey> repeat(int last) {
        if (sent.isEmpty()) {
            return Optional.empty();
        }
        Sent old = sent.get(sent.size() - 1 - world.random.nextInt(Math.min(last, sent.size())));
        boolean young =
                world.real() - old.firstReal < world.table().keyLifetime().toNanos() * 9 / 10;
        return young ? Optional.of(old.key) : Optional.empty();
    }

    /** Attempts a request at every process that is up, in random order and with random delays. */
    void attemptEverywhere(RequestKey key) {
        for (SimulatedNode node : world.nodes) {
            world.after(world.random.nextInt(30), () -> world.at(node, () -> attempt(node, key)));
        }
    }

    Claim attempt(SimulatedNode node, RequestKey key) {
        Claim claim = node.holder().claim(node.now(world.real()), key, 0);
        switch (claim) {
            case Claim.Run run -> ran(node, key.request());
            case Claim.Known known -> check(known.outcome().equals(answers.get(key.request())), "another answer", key);
            case Claim.Refused refused ->
                check(refused.reason() == RefusalReason.DUPLICATE || count(key) == 0, "not run, but it ran", key);
            case Claim.Running running -> check(count(key) == 1, "running, but not claimed", key);
            case Claim.MayHaveRun mayHaveRun -> {}
        }
        return claim;
    }

    private void ran(SimulatedNode node, RequestIdentifier request) {
        int count = runs.merge(request, 1, Integer::sum);
        granted++;
        if (count > 1) {
            throw new AssertionError(request + " was claimed twice, now by " + node.member + " at " + world.real());
        }
        long incarnation = node.incarnation();
        int fate = world.random.nextInt(4);
        world.after(
                world.random.nextInt(500),
                () -> world.at(node, () -> {
                    if (node.incarnation() == incarnation) {
                        end(node, request, fate);
                    }
                }));
    }

    /** Releases or answers the request, or leaves it running forever. */
    private void end(SimulatedNode node, RequestIdentifier request, int fate) {
        if (fate == 0 && !node.drained()) {
            runs.merge(request, -1, Integer::sum);
            node.holder().notRun(request);
        } else if (fate == 1) {
            Outcome outcome = new Outcome.Answered(new AnswerContent(200, List.of(), Body.ofText(request.toString())));
            answers.put(request, outcome);
            node.holder().finished(request, outcome);
        }
    }

    private int count(RequestKey key) {
        return runs.getOrDefault(key.request(), 0);
    }

    private void check(boolean holds, String violation, RequestKey key) {
        if (!holds) {
            throw new AssertionError(violation + ": " + key.request() + " at " + world.real());
        }
    }
}
