package org.carawaysill.policy.admission;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.request.Priority;

/** Compares ways to set the concurrency limit, on the same seeds, at one copy that gets into trouble for twenty seconds. */
final class LimitComparison {

    /** What goes wrong with the copy. */
    enum Trouble {
        NONE(1, 1),
        DEEP_SLOW(1, 5),
        DEEP_SLOW_UNTOLD(1, 5),
        OWN_SLOW(1, 5),
        HINDER(1, 1),
        THRASH(1, 1),
        HIDDEN_QUEUE(1, 3),
        REFUSES(1, 3),
        DOWN(1, 1e9);

        final double share;
        final double worse;

        Trouble(double share, double worse) {
            this.share = share;
            this.worse = worse;
        }
    }

    static final long SECOND = 1_000_000_000L;
    static final long MILLI = 1_000_000L;
    static final long MARK = 100 * MILLI;
    static final long END = 23 * SECOND;
    static final long MEASURED = 3 * SECOND;
    static int slots = 60;
    static int knee = 20;
    static final double WORK_MILLIS = 40;
    static double capacity = slots / WORK_MILLIS * 1000;

    final VirtualTime time = new VirtualTime();
    final Random random;
    final Trouble trouble;
    final CopyAdmission admission;
    final Map<AttemptIdentifier, Candidate> known =
            new TreeMap<>(java.util.Comparator.comparingLong(AttemptIdentifier::low));
    final ArrayDeque<Runnable> hidden = new ArrayDeque<>();
    final long[] answered = new long[500];
    final long[] offered = new long[500];
    int inside;
    int serving;
    long attempts;
    long failures;
    double insideNanos;
    long insideCount;
    double limitSum;
    long limitCount;
    long wakeAt = Long.MAX_VALUE;

    LimitComparison(long seed, Trouble trouble, ConcurrencyLimit limit) {
        this.random = new Random(seed);
        this.trouble = trouble;
        this.admission = new CopyAdmission(slots, new CopyAdmission.Parts(limit, new OtherCuts.NoCut()));
    }

    boolean inTrouble() {
        return time.now() >= 3 * SECOND && time.now() < END;
    }

    double exponential(double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    void run() {
        arrive();
        sampleLimit();
        time.runUntil(END + 5 * SECOND);
    }

    void sampleLimit() {
        time.after(20 * MILLI, () -> {
            if (time.now() > MEASURED && time.now() < END) {
                limitSum += admission.load().limit();
                limitCount++;
            }
            sampleLimit();
        });
    }

    void arrive() {
        double rate = capacity * (inTrouble() ? 1.5 : 0.6);
        time.after((long) (exponential(1 / rate) * SECOND), () -> {
            int level = random.nextInt(Priority.MAXIMUM + 1);
            Candidate candidate = new Candidate(
                    new AttemptIdentifier(0, ++attempts),
                    "any",
                    new Priority(level),
                    true,
                    0,
                    time.now(),
                    time.now() + SECOND);
            offered[(int) (time.now() / (MARK))]++;
            known.put(candidate.attempt(), candidate);
            apply(admission.offer(time.now(), candidate));
            arrive();
        });
    }

    void apply(List<Verdict> verdicts) {
        for (Verdict verdict : verdicts) {
            if (verdict instanceof Verdict.Start) {
                enterCopy(verdict.attempt());
            }
        }
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

    void enterCopy(AttemptIdentifier attempt) {
        inside++;
        long started = time.now();
        boolean bad = inTrouble();
        if (bad && (trouble == Trouble.DOWN || trouble == Trouble.REFUSES && inside > knee)) {
            time.after(MILLI, () -> leave(attempt, started, Finish.FAILED));
            return;
        }
        if (bad && trouble == Trouble.HIDDEN_QUEUE && serving >= knee) {
            hidden.add(() -> serve(attempt, started));
            return;
        }
        serve(attempt, started);
    }

    void serve(AttemptIdentifier attempt, long started) {
        serving++;
        double erlang = 0;
        for (int stage = 0; stage < 4; stage++) {
            erlang += exponential(WORK_MILLIS / 4);
        }
        double factor = !inTrouble()
                ? 1
                : switch (trouble) {
                    case OWN_SLOW -> 5;
                    case HINDER -> Math.max(1, (double) inside / knee);
                    case THRASH -> Math.pow(Math.max(1, (double) inside / knee), 2);
                    default -> 1;
                };
        long own = (long) (erlang * factor * MILLI);
        boolean below = inTrouble() && (trouble == Trouble.DEEP_SLOW || trouble == Trouble.DEEP_SLOW_UNTOLD);
        time.after(own, () -> {
            if (below) {
                if (trouble == Trouble.DEEP_SLOW) {
                    admission.calledBelow(time.now(), attempt);
                }
                time.after((long) (exponential(4 * WORK_MILLIS) * MILLI), () -> {
                    admission.answeredBelow(time.now(), attempt, true);
                    done(attempt, started);
                });
            } else {
                done(attempt, started);
            }
        });
    }

    void done(AttemptIdentifier attempt, long started) {
        serving--;
        if (!hidden.isEmpty() && (serving < knee || !inTrouble())) {
            hidden.remove().run();
        }
        leave(attempt, started, Finish.ANSWERED);
    }

    void leave(AttemptIdentifier attempt, long started, Finish finish) {
        inside--;
        if (finish == Finish.ANSWERED) {
            answered[(int) (time.now() / (MARK))]++;
            if (time.now() > MEASURED && time.now() < END) {
                insideNanos += time.now() - started;
                insideCount++;
            }
        } else {
            failures++;
        }
        apply(admission.finished(time.now(), attempt, finish));
    }

    static long sum(long[] counts, int from, int to) {
        long sum = 0;
        for (int mark = from; mark < to; mark++) {
            sum += counts[mark];
        }
        return sum;
    }

    double recoverySeconds() {
        int end = (int) (END / MARK);
        for (int mark = end; mark < end + 45; mark++) {
            if (sum(answered, mark, mark + 3) >= 0.95 * sum(offered, mark, mark + 3)) {
                return (mark - end) / 10.0;
            }
        }
        return 99;
    }

    public static void main(String[] arguments) {
        Map<String, Supplier<ConcurrencyLimit>> limits = new TreeMap<>();
        limits.put("learned", LearnedLimit::new);
        limits.put("fixed", OtherLimits.Fixed::new);
        limits.put("additive", OtherLimits.AdditiveIncrease::new);
        limits.put("gradient", OtherLimits.Gradient::new);
        int seeds = 11;
        if (arguments.length > 0) {
            slots = Integer.parseInt(arguments[0]);
            knee = slots / 3;
            capacity = slots / WORK_MILLIS * 1000;
        }
        for (Trouble trouble : Trouble.values()) {
            System.out.println(trouble);
            for (var entry : limits.entrySet()) {
                double throughput = 0;
                double recovery = 0;
                double inside = 0;
                double limit = 0;
                double failures = 0;
                for (int seed = 1; seed <= seeds; seed++) {
                    LimitComparison run =
                            new LimitComparison(seed, trouble, entry.getValue().get());
                    run.run();
                    throughput += sum(run.answered, (int) (MEASURED / MARK), (int) (END / MARK))
                            * 1e9
                            / (END - MEASURED)
                            / seeds;
                    recovery = Math.max(recovery, run.recoverySeconds());
                    inside += run.insideNanos / Math.max(1, run.insideCount) / MILLI / seeds;
                    limit += run.limitSum / run.limitCount / seeds;
                    failures += (double) run.failures / seeds;
                }
                System.out.printf(
                        "  %-9s answered %.0f/s, %.0f ms at the copy, limit %.1f, failures %.0f, worst recovery %.1f s%n",
                        entry.getKey(), throughput, inside, limit, failures, recovery);
            }
        }
    }
}
