package org.carawaysill.policy.admission;

import static org.carawaysill.policy.admission.FakeChain.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import org.carawaysill.model.request.Priority;
import org.junit.jupiter.api.Test;

/**
 * Simulates a chain of three services. For six seconds the demand doubles, the last service becomes five times slower,
 * and every client makes up to four attempts. Without cuts the copies of the earlier services fill with requests that
 * fail at the last hop, so requests that never reach it hang too. The overload must not outlast its trigger.
 */
class ChainOverloadTest {

    private static final long OVERLOAD_START = 3 * SECOND;
    private static final long MEASURED_FROM = 4 * SECOND;
    private static final long OVERLOAD_END = 9 * SECOND;
    private static final long STOP = 12 * SECOND;
    private static final long BUCKET = SECOND / 10;
    private static final double CAPACITY = 750;
    private static final double SLOWDOWN = 5;
    private static final List<FakeChain.Hop> HOPS = List.of(
            new FakeChain.Hop("tracker", 4, 30, 0.010),
            new FakeChain.Hop("parties", 3, 30, 0.010),
            new FakeChain.Hop("manifests", 3, 10, 0.040));

    @Test
    void manyCallersGetWhatTheLastServiceCanGive() {
        assertOutcome(runs(300, true), 0.99);
    }

    @Test
    void callersThatAreEachALargePartOfTheTrafficGetItToo() {
        assertOutcome(runs(3, true), 0.9);
    }

    @Test
    void withoutObeyedCutsRequestsThatNeverReachTheSlowServiceFail() {
        assertTrue(mean(runs(300, false), run -> run.shallow.share()) < 0.5);
    }

    private static void assertOutcome(List<Run> runs, double shallowShare) {
        double goodput = mean(runs, Run::goodput);
        double important = mean(runs, run -> run.important.share());
        double shallow = mean(runs, run -> run.shallow.share());
        assertTrue(goodput >= 0.95, "goodput " + goodput);
        assertTrue(important >= 0.999, "important " + important);
        assertTrue(shallow >= shallowShare, "shallow " + shallow);
        for (Run run : runs) {
            assertTrue(run.recoverySeconds() <= 1, "recovery " + run.recoverySeconds());
            run.chain.services.forEach(
                    copies -> copies.forEach(node -> assertEquals(0, node.admission.refusalOrderViolations())));
        }
    }

    private static List<Run> runs(int callers, boolean cutsObeyed) {
        return IntStream.rangeClosed(1, 5)
                .mapToObj(seed -> new Run(new FakeChain(seed, cutsObeyed, HOPS), callers))
                .toList();
    }

    private static double mean(List<Run> runs, ToDoubleFunction<Run> figure) {
        return runs.stream().mapToDouble(figure).average().orElseThrow();
    }

    private static final class Tally {
        private double offered;
        private double answered;

        double share() {
            return answered / offered;
        }
    }

    /** One simulation run with its clients. */
    private static final class Run {
        private final FakeChain chain;
        private final int callers;
        private final Tally important = new Tally();
        private final Tally shallow = new Tally();
        private final double[] offered = new double[(int) (STOP / BUCKET) + 1];
        private final double[] answered = new double[offered.length];

        Run(FakeChain chain, int callers) {
            this.chain = chain;
            this.callers = callers;
            chain.after(3, () -> chain.lastHopSlowdown = SLOWDOWN);
            chain.after(9, () -> chain.lastHopSlowdown = 1);
            arrive(2);
            arrive(1);
            chain.runUntil(STOP);
        }

        private void arrive(int depth) {
            boolean overload = chain.now >= OVERLOAD_START && chain.now < OVERLOAD_END;
            double perSecond = depth == 1 ? 1000 : CAPACITY * (overload ? 2 : 0.7);
            chain.after(chain.exponential(1 / perSecond), () -> {
                request(depth);
                arrive(depth);
            });
        }

        private void request(int depth) {
            int draw = chain.random.nextInt(100);
            int importance = draw < 30 ? 0 : draw < 92 ? 1 : draw < 97 ? 2 : 3;
            int within = Math.floorMod(chain.random.nextInt(callers) * 0x9E3779B1 >>> 8, 128);
            Priority priority = new Priority(importance * Priority.LEVELS_PER_IMPORTANCE + within);
            boolean counted = chain.now >= MEASURED_FROM && chain.now < OVERLOAD_END;
            Tally tally = !counted ? new Tally() : importance >= 2 ? important : depth == 1 ? shallow : new Tally();
            tally.offered++;
            offered[(int) (chain.now / BUCKET)] += depth - 1;
            attempt(priority, depth, 3, () -> {
                tally.answered++;
                answered[(int) (chain.now / BUCKET)] += depth - 1;
            });
        }

        private void attempt(Priority priority, int depth, int retries, Runnable success) {
            long deadline = chain.now + SECOND;
            chain.enter(priority, depth, complete -> {
                if (complete && chain.now <= deadline) {
                    success.run();
                } else if (retries > 0) {
                    chain.after(chain.exponential(0.05), () -> attempt(priority, depth, retries - 1, success));
                }
            });
        }

        double goodput() {
            return sum(answered, MEASURED_FROM, OVERLOAD_END)
                    / (CAPACITY / SLOWDOWN)
                    / ((OVERLOAD_END - MEASURED_FROM) / SECOND);
        }

        double recoverySeconds() {
            long from = OVERLOAD_END;
            while (sum(answered, from, from + SECOND / 2) < 0.95 * sum(offered, from, from + SECOND / 2)) {
                from += BUCKET;
            }
            return (double) (from - OVERLOAD_END) / SECOND;
        }

        private static double sum(double[] counts, long from, long to) {
            return IntStream.range((int) (from / BUCKET), (int) (to / BUCKET))
                    .mapToDouble(at -> counts[at])
                    .sum();
        }
    }
}
