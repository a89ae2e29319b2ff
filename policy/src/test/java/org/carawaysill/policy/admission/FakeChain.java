package org.carawaysill.policy.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Priority;

/** Simulates a chain of services in virtual time; a copy holds a slot while it works and while it calls the next one. */
final class FakeChain {

    static final long SECOND = 1_000_000_000L;
    private static final long NETWORK_DELAY = SECOND / 1_000;
    private static final int STAGES = 4;

    record Hop(String service, int copies, int slots, double workSeconds) {}

    private record Action(long at, long sequence, Runnable body) {}

    final Random random;
    final List<List<Node>> services;
    final boolean cutsObeyed;
    double lastHopSlowdown = 1;
    long now;
    private final PriorityQueue<Action> actions =
            new PriorityQueue<>(Comparator.comparingLong(Action::at).thenComparingLong(Action::sequence));
    private long sequence;

    FakeChain(long seed, boolean cutsObeyed, List<Hop> hops) {
        random = new Random(seed);
        this.cutsObeyed = cutsObeyed;
        services = IntStream.range(0, hops.size())
                .mapToObj(depth -> IntStream.range(0, hops.get(depth).copies())
                        .mapToObj(copy -> new Node(hops.get(depth), depth, copy))
                        .toList())
                .toList();
    }

    void after(double seconds, Runnable body) {
        actions.add(new Action(now + (long) (seconds * SECOND), sequence++, body));
    }

    void runUntil(long end) {
        while (!actions.isEmpty() && actions.peek().at() <= end) {
            now = actions.peek().at();
            actions.remove().body().run();
        }
    }

    double exponential(double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    void enter(Priority priority, int lastDepth, Consumer<Boolean> done) {
        Node entry = services.getFirst().get(random.nextInt(services.getFirst().size()));
        Candidate candidate = new Candidate(
                new AttemptIdentifier(0, ++sequence), "to " + lastDepth, priority, true, 0, now, now + SECOND);
        entry.arrive(new Call(candidate, lastDepth, done));
    }

    private record Call(Candidate candidate, int lastDepth, Consumer<Boolean> done) {}

    /** A copy with its node. */
    final class Node {
        final CopyAdmission admission;
        private final Hop hop;
        private final int depth;
        private final NodeName name;
        private final ChainCuts cuts;
        private final Map<AttemptIdentifier, Call> calls = new HashMap<>();
        private long wakeNanos = Long.MAX_VALUE;

        Node(Hop hop, int depth, int copy) {
            this.hop = hop;
            this.depth = depth;
            name = new NodeName(hop.service() + "-" + copy);
            admission = new CopyAdmission(AdmissionSettings.DEFAULTS, hop.slots());
            cuts = new ChainCuts(new ServiceName(hop.service()));
        }

        private void arrive(Call call) {
            Candidate candidate = call.candidate();
            if (cutsObeyed
                    && cuts.check(now, candidate.operation(), candidate.priority())
                            .isPresent()) {
                call.done().accept(false);
                return;
            }
            calls.put(candidate.attempt(), call);
            apply(admission.offer(now, candidate));
        }

        private void apply(List<Verdict> verdicts) {
            for (Verdict verdict : verdicts) {
                switch (verdict) {
                    case Verdict.Start start -> work(calls.get(start.attempt()));
                    case Verdict.Refuse refuse -> end(refuse.attempt(), false);
                    case Verdict.CancelRunning cancel -> end(cancel.attempt(), false);
                }
            }
            long next = admission.nextWakeNanos();
            if (next < wakeNanos) {
                wakeNanos = next;
                after((double) (next - now) / SECOND, () -> {
                    wakeNanos = Long.MAX_VALUE;
                    apply(admission.wakeUp(now));
                });
            }
        }

        private void end(AttemptIdentifier attempt, boolean answered) {
            Call call = calls.remove(attempt);
            after((double) NETWORK_DELAY / SECOND, () -> call.done().accept(answered));
        }

        private void work(Call call) {
            double seconds = IntStream.range(0, STAGES)
                    .mapToDouble(stage -> exponential(hop.workSeconds() / STAGES))
                    .sum();
            after(seconds * (depth == services.size() - 1 ? lastHopSlowdown : 1), () -> {
                if (depth == call.lastDepth()) {
                    finish(call, true);
                } else {
                    callDeeper(call);
                }
            });
        }

        private void callDeeper(Call call) {
            Candidate above = call.candidate();
            Node target = services.get(depth + 1).stream()
                    .min(Comparator.comparing((Node node) ->
                                    node.admission.cut() > above.priority().level())
                            .thenComparing(node -> node.calls.size()))
                    .orElseThrow();
            Candidate below = new Candidate(
                    new AttemptIdentifier(0, ++sequence),
                    above.operation(),
                    above.priority(),
                    true,
                    depth + 1,
                    now,
                    above.deadlineNanos());
            admission.deeperCallStarted(now, above.attempt());
            target.arrive(new Call(below, call.lastDepth(), answered -> {
                admission.deeperCallEnded(now, above.attempt(), answered);
                cuts.recordCuts(
                        now,
                        above.operation(),
                        target.name,
                        target.cuts.report(now, above.operation(), target.admission.cut()));
                finish(call, answered);
            }));
        }

        private void finish(Call call, boolean answered) {
            if (calls.containsKey(call.candidate().attempt())) {
                List<Verdict> verdicts =
                        admission.finished(now, call.candidate().attempt(), Finish.ANSWERED);
                end(call.candidate().attempt(), answered);
                apply(verdicts);
            }
        }
    }
}
