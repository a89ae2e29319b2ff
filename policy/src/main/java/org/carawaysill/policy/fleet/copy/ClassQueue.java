package org.carawaysill.policy.fleet.copy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.carawaysill.policy.fleet.schedule.CallerTurns;
import org.carawaysill.policy.fleet.schedule.RouteTimes;
import org.carawaysill.policy.fleet.schedule.ServiceWork;

/**
 * The requests of one class of work.
 *
 * <p>They start by rank; within a rank, and while more wait than run, those of callers that were given more than others
 * go after the others; then by least slack. Not thread safe: owned by the line.
 */
final class ClassQueue {

    /**
     * A request counts as able to meet its aim while so many times the usual time of a run is left. Guards against
     * overload in which each request starts when it is about to be late: about half of them then are.
     */
    private static final double AIM_MARGIN = 1.5;

    /** Longer than any request waits. */
    private static final long AFTER_OTHERS_NANOS = Duration.ofDays(365).toNanos();

    private final ServiceWork work;
    private final RouteTimes times;
    private final Order order;
    private final CallerTurns turns = new CallerTurns();
    private final List<LocalRun> waiting = new ArrayList<>();
    private int running;

    /** The order among requests of equal rank whose callers are not ahead of others. */
    enum Order {
        /** The oldest root request first. */
        OLDEST_ROOT,
        /**
         * The least slack first: the time until the root request's aim, less the usual time of a run. Those that will
         * hardly meet their aim go last, by their own deadlines.
         */
        LEAST_SLACK
    }

    ClassQueue(ServiceWork work, RouteTimes times, Order order) {
        this.work = work;
        this.times = times;
        this.order = order;
    }

    int running() {
        return running;
    }

    List<LocalRun> waiting() {
        return Collections.unmodifiableList(waiting);
    }

    void add(LocalRun run) {
        waiting.add(run);
        turns.waits(caller(run));
    }

    void remove(LocalRun run) {
        if (waiting.remove(run)) {
            turns.waitsNoLonger(caller(run));
        }
    }

    void started(long now, LocalRun run) {
        running++;
        turns.given(caller(run), Math.max(1, times.meanNanos(now, run.request().route())));
    }

    void finished() {
        running--;
    }

    private static String caller(LocalRun run) {
        return run.request()
                .organisation()
                .map(organisation -> "organisation " + organisation.value())
                .orElseGet(() -> run.request().caller().value());
    }

    /** Returns the request that starts next, of those that can still be done. */
    Optional<LocalRun> first(long now) {
        boolean crowded = waiting.size() > running;
        return waiting.stream()
                .filter(run -> !isHopeless(now, run))
                .map(run -> new Candidate(
                        run, run.request().rank(), crowded && turns.isAhead(caller(run)) ? 1 : 0, key(now, run)))
                .min(Candidate.FIRST)
                .map(Candidate::run);
    }

    /** Returns the request that loses its place when a newcomer finds the queue full; it may be the newcomer. */
    LocalRun last(long now, LocalRun newcomer) {
        return Stream.concat(waiting.stream(), Stream.of(newcomer))
                .map(run -> new Candidate(run, run.request().rank(), claim(run), key(now, run)))
                .max(Candidate.FIRST)
                .orElseThrow()
                .run();
    }

    private double claim(LocalRun run) {
        return turns.claimNanos(caller(run));
    }

    private record Candidate(LocalRun run, int rank, double ahead, long key) {

        private static final Comparator<Candidate> FIRST = Comparator.comparingInt(Candidate::rank)
                .thenComparingDouble(Candidate::ahead)
                .thenComparingLong(Candidate::key);
    }

    private long key(long now, LocalRun run) {
        if (order == Order.OLDEST_ROOT) {
            return run.rootArrivedNanos();
        }
        long expected = times.meanNanos(now, run.request().route());
        long aim = aimNanos(run);
        boolean canMeetAim = now + expected * AIM_MARGIN <= Math.min(aim, run.deadlineNanos());
        return (canMeetAim ? aim : AFTER_OTHERS_NANOS + run.deadlineNanos()) - expected;
    }

    /** Returns when the root request's target latency is over, or the deadline of this request if it has none. */
    private long aimNanos(LocalRun run) {
        Long aim = work.aimNanos().get(run.request().rootRoute());
        return aim == null ? run.deadlineNanos() : run.rootArrivedNanos() + aim;
    }

    boolean isHopeless(long now, LocalRun run) {
        return run.deadlineNanos() - now < times.leastNanos(now, run.request().route());
    }
}
