package org.carawaysill.policy.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Function;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Priority;
import org.carawaysill.policy.message.PeerMessage.ServiceCut;

/** A chain of services whose copies hold a slot while they work and while they call the next one. Not thread safe. */
final class FakeChain {

    static final long MILLI = 1_000_000L;
    static final String DEEP = "deep";
    static final String SHALLOW = "shallow";

    record Hop(String service, int copies, int slots, double workMillis) {}

    final VirtualTime time = new VirtualTime();
    final Random random;
    final List<List<Node>> services = new ArrayList<>();
    final List<Hop> hops;
    double slowdown = 1;
    boolean chainCuts = true;
    boolean entryRates;
    long worked;
    long wasted;
    long deepestAnswered;
    private long attempts;

    FakeChain(long seed, List<Hop> hops, Function<Hop, CopyAdmission> admission) {
        this.random = new Random(seed);
        this.hops = hops;
        for (Hop hop : hops) {
            List<Node> copies = new ArrayList<>();
            for (int copy = 0; copy < hop.copies(); copy++) {
                copies.add(
                        new Node(hop, services.size(), new NodeName(hop.service() + "-" + copy), admission.apply(hop)));
            }
            services.add(copies);
        }
    }

    double exponential(double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    double erlang(double mean) {
        double sum = 0;
        for (int stage = 0; stage < STAGES; stage++) {
            sum += exponential(mean / STAGES);
        }
        return sum;
    }

    static final int STAGES = 4;

    int breaches() {
        return services.stream()
                .flatMap(List::stream)
                .mapToInt(node -> node.admission.breaches())
                .sum();
    }

    /** Sends a request to a random entry node; the consumer hears whether it was answered completely. */
    Call enter(Priority priority, boolean deep, long deadlineNanos, Consumer<Boolean> done) {
        List<Node> entries = services.getFirst();
        Node entry = entries.get(random.nextInt(entries.size()));
        Call call = new Call(
                entry, priority, 0, services.size() - (deep ? 1 : 2), deadlineNanos, (from, ok) -> done.accept(ok));
        time.after(MILLI, () -> entry.arrive(call));
        return call;
    }

    interface Done {
        void accept(Node from, boolean answered);
    }

    /** One attempt at one hop. */
    final class Call {
        final AttemptIdentifier attempt;
        final Node node;
        final Priority priority;
        final int depth;
        final int last;
        final long deadlineNanos;
        private final Done done;
        Call child;
        boolean ended;
        boolean ran;

        Call(Node node, Priority priority, int depth, int last, long deadlineNanos, Done done) {
            this.attempt = new AttemptIdentifier(0, ++attempts);
            this.node = node;
            this.priority = priority;
            this.depth = depth;
            this.last = last;
            this.deadlineNanos = deadlineNanos;
            this.done = done;
        }

        String operation() {
            return last == services.size() - 1 ? DEEP : SHALLOW;
        }

        void cancel() {
            if (!ended) {
                ended = true;
                if (ran) {
                    wasted++;
                }
                if (child != null) {
                    child.cancel();
                }
                node.calls.remove(attempt);
                node.apply(node.admission.withdraw(time.now(), attempt));
            }
        }

        void end(boolean answered) {
            if (!ended) {
                ended = true;
                if (ran && !answered) {
                    wasted++;
                }
                node.calls.remove(attempt);
                time.after(MILLI, () -> done.accept(node, answered));
            }
        }
    }

    /** A copy and its node. */
    final class Node {
        final Hop hop;
        final int depth;
        final NodeName name;
        final CopyAdmission admission;
        final ChainCuts cuts;
        final Map<AttemptIdentifier, Call> calls = new HashMap<>();
        private final Map<Node, Integer> outstanding = new HashMap<>();
        private final Map<Node, Integer> lastCut = new HashMap<>();
        private final OtherCuts.EntryRate entryRate = new OtherCuts.EntryRate();
        private long wakeAt = Long.MAX_VALUE;

        Node(Hop hop, int depth, NodeName name, CopyAdmission admission) {
            this.hop = hop;
            this.depth = depth;
            this.name = name;
            this.admission = admission;
            this.cuts = new ChainCuts(new ServiceName(hop.service()));
        }

        void arrive(Call call) {
            if (call.ended) {
                return;
            }
            calls.put(call.attempt, call);
            if (entryRates && depth == 0 && call.last == 2 && entryRate.refuses(time.now(), call.priority)) {
                call.end(false);
                return;
            }
            if (chainCuts
                    && cuts.check(time.now(), call.operation(), call.priority).isPresent()) {
                call.end(false);
                return;
            }
            apply(admission.offer(
                    time.now(),
                    new Candidate(
                            call.attempt,
                            call.operation(),
                            call.priority,
                            true,
                            depth,
                            time.now(),
                            call.deadlineNanos)));
        }

        void apply(List<Verdict> verdicts) {
            for (Verdict verdict : verdicts) {
                Call call = calls.get(verdict.attempt());
                switch (verdict) {
                    case Verdict.Start start -> work(call);
                    case Verdict.Refuse refuse -> {
                        call.end(false);
                    }
                    case Verdict.CancelRunning cancel -> call.end(false);
                }
            }
            wakeWhenNeeded();
        }

        private void wakeWhenNeeded() {
            long next = admission.nextWakeNanos();
            if (next < wakeAt) {
                wakeAt = next;
                time.after(Math.max(0, next - time.now()), () -> {
                    if (wakeAt == next) {
                        wakeAt = Long.MAX_VALUE;
                        apply(admission.wakeUp(time.now()));
                    }
                });
            }
        }

        private void work(Call call) {
            call.ran = true;
            worked++;
            boolean deepest = depth == call.last;
            double factor = depth == services.size() - 1 ? slowdown : 1;
            long work = (long) (erlang(hop.workMillis()) * factor * MILLI);
            time.after(work, () -> {
                if (!call.ended) {
                    if (deepest) {
                        deepestAnswered++;
                        finish(call, true);
                    } else {
                        callBelow(call);
                    }
                }
            });
        }

        private void finish(Call call, boolean answered) {
            List<Verdict> verdicts = admission.finished(time.now(), call.attempt, Finish.ANSWERED);
            call.end(answered);
            apply(verdicts);
        }

        private void callBelow(Call call) {
            Node target = choose(call.priority);
            outstanding.merge(target, 1, Integer::sum);
            call.child = new Call(target, call.priority, depth + 1, call.last, call.deadlineNanos, (from, answered) -> {
                if (answered || !call.ended) {
                    List<ServiceCut> report = from.cuts.report(time.now(), call.operation(), from.admission.cut());
                    cuts.learned(time.now(), call.operation(), from.name, report);
                    lastCut.put(from, from.admission.cut());
                }
                entryRate.answered(!answered);
                if (!call.ended) {
                    finish(call, answered);
                }
            });
            Call child = call.child;
            time.after(MILLI, () -> target.arrive(child));
            releaseWhenEnded(target, child);
        }

        private void releaseWhenEnded(Node target, Call child) {
            time.after(5 * MILLI, () -> {
                if (child.ended) {
                    outstanding.merge(target, -1, Integer::sum);
                } else {
                    releaseWhenEnded(target, child);
                }
            });
        }

        private Node choose(Priority priority) {
            List<Node> targets = services.get(depth + 1);
            Node best = targets.get(random.nextInt(targets.size()));
            for (Node target : targets) {
                if (cost(target, priority) < cost(best, priority)) {
                    best = target;
                }
            }
            return best;
        }

        private int cost(Node target, Priority priority) {
            int closed = chainCuts && lastCut.getOrDefault(target, 0) > priority.level() ? 1_000_000 : 0;
            return closed + outstanding.getOrDefault(target, 0);
        }
    }
}
