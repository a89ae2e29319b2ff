package org.carawaysill.policy.fleet.copy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.stream.Stream;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.policy.fleet.mechanism.Mechanism;
import org.carawaysill.policy.message.PeerMessage.LoadReport;
import org.carawaysill.policy.time.Nanos;

/**
 * The one queue in front of the local copy: at most as many requests as the copy has slots are at it, the others wait here
 * in the order in which they matter.
 *
 * <p>Guards against work that piles up inside the copy, where it can't be ordered or taken back: it shows as important
 * requests that time out behind unimportant ones, and as a copy that sheds. Invariants: never more at the copy than the
 * limit; a request is refused only while no less important one waits. Not thread safe: owned by the policy.
 */
public final class CopyGate {

    /** What may wait for each slot: with two, the last of the queue waits about two usual service times. */
    private static final int QUEUED_FOR_EACH_SLOT = 2;

    /** Room for a burst at a copy with few slots. */
    private static final int LEAST_QUEUE = 16;

    /** The limit before anything is published of the copy: low, since it is not known what it can do. */
    private static final int UNKNOWN_LIMIT = 4;

    private static final double SERVICE_TIME_WEIGHT = 0.05;

    /**
     * What is left of the slots, at the least, where the copy refuses although some should be free: it may still work on
     * what a process before this one handed to it, or shed for reasons of its own. Below half, a copy that sheds at random
     * would hardly be used, although each slot of it still works.
     */
    private static final double LEAST_USED_PART = 0.5;

    /** How much of a slot is tried again with each good answer. */
    private static final double RECOVERY = 0.2;

    private final Map<AttemptIdentifier, LocalRun> runs = new HashMap<>();
    private final Comparator<LocalRun> order;
    private final PriorityQueue<LocalRun> queue;
    private final SuspectQueue suspects = new SuspectQueue();
    private final NearFullLimit nearFull;
    private final WorkTime workTime = new WorkTime();
    private int slots = UNKNOWN_LIMIT;
    private double limit = UNKNOWN_LIMIT;
    private int running;
    private double serviceNanos;

    /**
     * Opens a gate in front of a copy of which nothing is known.
     *
     * @param without what is switched off
     */
    public CopyGate(Set<Mechanism> without) {
        order = without.contains(Mechanism.OLDEST_FIRST) ? LocalRun.DEEPEST_FIRST : LocalRun.OLDEST_FIRST;
        queue = new PriorityQueue<>(order);
        nearFull = new NearFullLimit(!without.contains(Mechanism.NEAR_FULL_LIMIT));
        nearFull.reset(0, slots);
    }

    /** How a request at the copy, or in front of it, ended. */
    public enum Ending {
        /** The copy did what it was asked: its time says how fast the copy is. */
        DONE,
        /** The copy answered with a failure: its time was taken, and says nothing of the copy's speed. */
        FAILED,
        /** It was not answered: its time at the copy is not known. */
        BROKEN_OFF
    }

    /** What became of a request offered to the gate. Immutable and thread safe. */
    public sealed interface Offered {

        /** It has a slot. */
        record Started() implements Offered {}

        /**
         * It waits.
         *
         * @param evicted a less important request that lost its place to it
         */
        record Waits(Optional<LocalRun> evicted) implements Offered {}

        /** There is no room, and nothing less important waits. */
        record Full() implements Offered {}

        /** It could not be finished in time. */
        record TooLate() implements Offered {}
    }

    /**
     * Sets how many requests may be at the copy.
     *
     * @param now the monotonic time
     * @param published the copy's slots
     */
    public void limit(long now, int published) {
        if (published != slots) {
            slots = published;
            renewed(now);
        }
    }

    /**
     * Notes that the copy was started anew: what the earlier process did says nothing of this one.
     *
     * @param now the monotonic time
     */
    public void renewed(long now) {
        limit = Math.max(1, slots);
        nearFull.reset(now, slots);
        workTime.reset();
    }

    /**
     * Notes that the copy refused a request although it should have had a slot.
     *
     * <p>One that refuses with half of its slots free does so for other reasons than that they are taken, and fewer requests
     * would not lead to fewer refusals: it gets as many as before.
     */
    public void refused() {
        double least = Math.max(1, slots * LEAST_USED_PART);
        limit = limit <= least ? slots : Math.max(least, Math.min(limit, running) - 1);
    }

    /** Notes that the copy gave an answer. */
    public void answered() {
        limit = Math.min(slots, limit + RECOVERY);
    }

    private int usable(long now) {
        return Math.max(1, Math.min((int) limit, nearFull.limit(now)));
    }

    /**
     * Offers a request.
     *
     * @param now the monotonic time
     * @param run the request
     * @return what became of it
     */
    public Offered offer(long now, LocalRun run) {
        if (run.deadlineNanos() <= now) {
            return new Offered.TooLate();
        }
        if (running < usable(now)) {
            start(now, run);
            return new Offered.Started();
        }
        if (queue.size() < Math.max(LEAST_QUEUE, slots * QUEUED_FOR_EACH_SLOT)) {
            enqueue(run);
            return new Offered.Waits(Optional.empty());
        }
        LocalRun worst = worst();
        if (order.compare(run, worst) >= 0) {
            return new Offered.Full();
        }
        forget(worst);
        enqueue(run);
        return new Offered.Waits(Optional.of(worst));
    }

    /**
     * Receives a request that is suspected to crash copies: it waits until it may run beside few other suspects.
     *
     * @param run the request
     * @return whether there was room for it
     */
    public boolean hold(LocalRun run) {
        if (suspects.waiting().size() >= Math.max(LEAST_QUEUE, slots * QUEUED_FOR_EACH_SLOT)) {
            return false;
        }
        runs.put(run.request().attempt(), run);
        suspects.add(run);
        return true;
    }

    /**
     * Lets no suspected request go to the copy before a moment.
     *
     * @param nanos the monotonic time
     */
    public void settleSuspectsUntil(long nanos) {
        suspects.settleUntil(nanos);
    }

    /**
     * Notes that a request at the copy is suspected to crash copies, and was not when it was handed over.
     *
     * @param run the request
     */
    public void join(LocalRun run) {
        suspects.join(run);
    }

    /**
     * Takes out all that was not handed to the copy.
     *
     * @return the requests, to be offered again or refused
     */
    public List<LocalRun> takeWaiting() {
        List<LocalRun> waiting = new ArrayList<>(queue);
        waiting.addAll(suspects.waiting());
        waiting.forEach(this::forget);
        return waiting;
    }

    private LocalRun worst() {
        return queue.stream().max(order).orElseThrow();
    }

    private void start(long now, LocalRun run) {
        runs.put(run.request().attempt(), run);
        running++;
        run.start(now, running);
    }

    private void enqueue(LocalRun run) {
        runs.put(run.request().attempt(), run);
        queue.add(run);
    }

    private void forget(LocalRun run) {
        runs.remove(run.request().attempt());
        suspects.remove(run);
        if (!run.isRunning()) {
            queue.remove(run);
        }
    }

    /**
     * Finds a request that waits or runs.
     *
     * @param attempt its attempt
     * @return the request
     */
    public Optional<LocalRun> find(AttemptIdentifier attempt) {
        return Optional.ofNullable(runs.get(attempt));
    }

    /**
     * Releases the slot of a finished request, or the place of a waiting one.
     *
     * @param now the monotonic time
     * @param run the request
     * @param ending how it ended
     */
    public void finished(long now, LocalRun run, Ending ending) {
        forget(run);
        if (run.isRunning()) {
            running--;
            if (ending != Ending.BROKEN_OFF) {
                double took = now - run.startedNanos();
                run.times().add(run.request().service(), took / Nanos.PER_SECOND);
                if (ending == Ending.DONE) {
                    learnWork(now, run);
                }
                serviceNanos += serviceNanos == 0 ? took : SERVICE_TIME_WEIGHT * (took - serviceNanos);
            }
        }
    }

    private void learnWork(long now, LocalRun run) {
        long nanos = run.ownNanos(now);
        workTime.add(now, nanos);
        NearFullLimit.WorkKind kind = new NearFullLimit.WorkKind(
                run.request().rootRoute(), run.request().depth());
        nearFull.answered(kind, nanos, run.runningAtStart());
    }

    /**
     * Starts the requests for which there is a slot now.
     *
     * @param now the monotonic time
     * @return the requests, to be handed to the copy
     */
    public List<LocalRun> startNext(long now) {
        queue.addAll(suspects.release(now));
        List<LocalRun> started = new ArrayList<>();
        while (running < usable(now) && !queue.isEmpty()) {
            LocalRun next = queue.poll();
            start(now, next);
            started.add(next);
        }
        return started;
    }

    /**
     * Takes out what can't be finished in time any more.
     *
     * @param now the monotonic time
     * @param margin how long an answer takes back to the client
     * @return the requests, none of which was handed to the copy
     */
    public List<LocalRun> takeOverdue(long now, long margin) {
        if (nextOverdueNanos(margin) > now) {
            return List.of();
        }
        List<LocalRun> overdue = Stream.concat(queue.stream(), suspects.waiting().stream())
                .filter(run -> run.deadlineNanos() - margin <= now)
                .toList();
        overdue.forEach(this::forget);
        return overdue;
    }

    /**
     * Returns when the first waiting request is overdue.
     *
     * @param margin how long an answer takes back to the client
     * @return the monotonic time, {@link Long#MAX_VALUE} where none waits
     */
    public long nextOverdueNanos(long margin) {
        return Math.min(firstOverdueNanos(queue, margin), firstOverdueNanos(suspects.waiting(), margin));
    }

    private static long firstOverdueNanos(Collection<LocalRun> waiting, long margin) {
        long first = Long.MAX_VALUE;
        for (LocalRun run : waiting) {
            first = Math.min(first, run.deadlineNanos() - margin);
        }
        return first;
    }

    /**
     * Returns when suspects may be let through although others are still at the copy.
     *
     * @return the monotonic time, {@link Long#MAX_VALUE} where none waits for that
     */
    public long nextReleaseNanos() {
        return suspects.nextNanos();
    }

    /**
     * Returns the present load.
     *
     * @param now the monotonic time
     * @return requests at the copy and waiting, and the limit
     */
    public LoadReport load(long now) {
        return new LoadReport(running, usable(now), queue.size(), 0);
    }

    /**
     * Returns how long the copy lately took for a request, without its calls.
     *
     * @param now the monotonic time
     * @return seconds, 0 where it is not known
     */
    public double workSeconds(long now) {
        return workTime.seconds(now);
    }

    /**
     * Estimates how long a newcomer waits.
     *
     * @param now the monotonic time
     * @return nanoseconds
     */
    public long expectedWaitNanos(long now) {
        return (long) (serviceNanos * queue.size() / usable(now));
    }

    /**
     * Returns whether nothing waits or runs.
     *
     * @return whether it is empty
     */
    public boolean isEmpty() {
        return runs.isEmpty();
    }

    /**
     * Returns all that waits or runs.
     *
     * @return the requests
     */
    public List<LocalRun> all() {
        return List.copyOf(runs.values());
    }
}
