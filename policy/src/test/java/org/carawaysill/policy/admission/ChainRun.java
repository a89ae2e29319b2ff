package org.carawaysill.policy.admission;

import java.util.List;
import java.util.function.Supplier;
import org.carawaysill.model.request.Importance;
import org.carawaysill.model.request.Priority;

/** Clients that retry hard, in front of a {@link FakeChain} in trouble for six seconds; and what became of them. */
final class ChainRun {

    /**
     * What the clients send and what goes wrong.
     *
     * @param hops the chain; the clients' demand is a share of what its last service serves
     * @param calm the demand before and after the trouble
     * @param surge the demand during it
     * @param slowdown how much slower the last service is during it
     * @param callers how many callers the requests come from
     * @param deadlineMillis how long a client waits, at each of its four attempts
     * @param shallowPerSecond requests besides that don't reach the last service
     */
    record Scenario(
            String name,
            List<FakeChain.Hop> hops,
            double calm,
            double surge,
            double slowdown,
            int callers,
            long deadlineMillis,
            double shallowPerSecond) {}

    private static final long SECOND = 1_000_000_000L;
    private static final long START = 3 * SECOND;
    private static final long SETTLED = START + SECOND;
    private static final long END = 9 * SECOND;
    private static final long STOP = 14 * SECOND;
    private static final long LAST_JUDGED = STOP - 3 * SECOND;
    private static final long MARK = SECOND / 10;
    private static final int RETRIES = 3;
    private static final int BACKOFF_MILLIS = 50;
    private static final int RECOVERY_MARKS = 5;
    private static final double[] MIX = {0.30, 0.62, 0.05, 0.03};

    final FakeChain chain;
    private final Scenario scenario;
    private final double capacity;
    private final long[] offered = new long[(int) (STOP / MARK) + 1];
    private final long[] answered = new long[offered.length];
    private long important;
    private long importantAnswered;
    private long shallow;
    private long shallowAnswered;
    private double latencyNanos;

    ChainRun(long seed, Scenario scenario, Supplier<CopyAdmission.Parts> parts) {
        this.scenario = scenario;
        chain = new FakeChain(seed, scenario.hops, hop -> new CopyAdmission(hop.slots(), parts.get()));
        FakeChain.Hop last = scenario.hops.getLast();
        capacity = last.copies() * last.slots() / last.workMillis() * 1000;
    }

    ChainRun run() {
        chain.time.after(START, () -> chain.slowdown = scenario.slowdown);
        chain.time.after(END, () -> chain.slowdown = 1);
        arriveDeep();
        if (scenario.shallowPerSecond > 0) {
            arriveShallow();
        }
        chain.time.runUntil(STOP);
        return this;
    }

    private void arriveDeep() {
        boolean trouble = chain.time.now() >= START && chain.time.now() < END;
        double rate = capacity * (trouble ? scenario.surge : scenario.calm);
        chain.time.after((long) (chain.exponential(1 / rate) * SECOND), () -> {
            offered[mark()]++;
            new Client(true).attempt();
            arriveDeep();
        });
    }

    private void arriveShallow() {
        chain.time.after((long) (chain.exponential(1 / scenario.shallowPerSecond) * SECOND), () -> {
            new Client(false).attempt();
            arriveShallow();
        });
    }

    private int mark() {
        return (int) (chain.time.now() / MARK);
    }

    private boolean settled() {
        return chain.time.now() >= SETTLED && chain.time.now() < END;
    }

    /** A request with its retries. */
    private final class Client {
        private final boolean deep;
        private final Priority priority = drawPriority();
        private final boolean counted = settled();
        private final boolean isImportant =
                priority.importance().compareTo(Importance.IMPORTANT) >= 0 && chain.time.now() < LAST_JUDGED;
        private int retriesLeft = RETRIES;

        Client(boolean deep) {
            this.deep = deep;
            important += isImportant ? 1 : 0;
            shallow += !deep && counted ? 1 : 0;
        }

        private Priority drawPriority() {
            double draw = chain.random.nextDouble();
            int importance = 0;
            while (importance < MIX.length - 1 && draw >= MIX[importance]) {
                draw -= MIX[importance++];
            }
            int within = Math.floorMod(chain.random.nextInt(scenario.callers) * 0x9E3779B1 >>> 8, 128);
            return new Priority(importance * Priority.LEVELS_PER_IMPORTANCE + within);
        }

        void attempt() {
            long started = chain.time.now();
            long patience = scenario.deadlineMillis * FakeChain.MILLI;
            boolean[] over = new boolean[1];
            FakeChain.Call call = chain.enter(priority, deep, started + patience, complete -> {
                if (!over[0]) {
                    over[0] = true;
                    ended(complete, started);
                }
            });
            chain.time.after(patience, () -> {
                if (!over[0]) {
                    over[0] = true;
                    call.cancel();
                    ended(false, started);
                }
            });
        }

        private void ended(boolean complete, long started) {
            if (!complete) {
                retry();
                return;
            }
            importantAnswered += isImportant ? 1 : 0;
            shallowAnswered += !deep && counted ? 1 : 0;
            answered[mark()] += deep ? 1 : 0;
            latencyNanos += deep && settled() ? chain.time.now() - started : 0;
        }

        private void retry() {
            if (retriesLeft-- > 0) {
                chain.time.after((long) (chain.exponential(BACKOFF_MILLIS) * FakeChain.MILLI), this::attempt);
            }
        }
    }

    /** Whole requests answered while in trouble, as a share of what the last service can serve then. */
    double goodput() {
        double able = Math.min(capacity / scenario.slowdown, scenario.surge * capacity);
        return sum(answered, SETTLED, END) / able / ((END - SETTLED) / (double) SECOND);
    }

    /** From the end of the trouble to the first half second in which 95% of what was offered is answered. */
    double recoverySeconds() {
        for (long from = END; from < STOP - RECOVERY_MARKS * MARK; from += MARK) {
            long to = from + RECOVERY_MARKS * MARK;
            if (sum(answered, from, to) >= 0.95 * sum(offered, from, to)) {
                return (from - END) / (double) SECOND;
            }
        }
        return Double.POSITIVE_INFINITY;
    }

    double importantAnsweredShare() {
        return (double) importantAnswered / important;
    }

    double shallowAnsweredShare() {
        return shallow == 0 ? 1 : (double) shallowAnswered / shallow;
    }

    double wastedShare() {
        return (double) chain.wasted / chain.worked;
    }

    double meanLatencyMillis() {
        return latencyNanos / FakeChain.MILLI / sum(answered, SETTLED, END);
    }

    private static long sum(long[] counts, long from, long to) {
        long sum = 0;
        for (int at = (int) (from / MARK); at < to / MARK; at++) {
            sum += counts[at];
        }
        return sum;
    }
}
