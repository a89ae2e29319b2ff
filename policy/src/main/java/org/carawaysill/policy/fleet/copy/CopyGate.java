package org.carawaysill.policy.fleet.copy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.Stream;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.request.Body;
import org.carawaysill.policy.fleet.mechanism.Mechanism;
import org.carawaysill.policy.fleet.schedule.ServiceWork;
import org.carawaysill.policy.message.PeerMessage.CopyRequest;
import org.carawaysill.policy.message.PeerMessage.LoadReport;
import org.carawaysill.policy.time.Nanos;

/**
 * The admission queue in front of the local copy. At most as many requests run as the copy has slots, and no more are
 * started per second than the copy says that it takes; the others wait here in order of priority.
 *
 * <p>Guards against requests that pile up inside the copy, where they can be neither reordered nor withdrawn: important
 * ones then time out behind unimportant ones, and the copy sheds. Invariants: never more requests run than the limit;
 * each request that waits or runs is in the map of runs, once. Not thread safe: owned by the policy.
 */
public final class CopyGate {

    /** How many requests may wait for each slot: the last of the queue then waits about two usual service times. */
    private static final int QUEUED_PER_SLOT = 2;

    /** The least length of the queue, which absorbs a burst at a copy with few slots. */
    private static final int MINIMUM_QUEUE_LENGTH = 16;

    /** After this time it is looked at again whether work that is held back may have a free slot. */
    private static final long HELD_BACK_NANOS = Duration.ofMillis(100).toNanos();

    private final RunTable runs;
    private final Comparator<LocalRun> order;
    private final SuspectQueue suspects = new SuspectQueue();
    private final StartPacer pacer = new StartPacer();
    private final RunTimes times = new RunTimes();
    private final RunLimit limit;
    private final boolean dividesSlots;
    private WaitingLine line;
    private boolean unheard = true;
    private int running;
    private long releaseNanos = Long.MAX_VALUE;

    /**
     * Creates a gate in front of a copy whose record is still unknown.
     *
     * @param disabledMechanisms the mechanisms that are switched off
     * @param maximumReceivedBytes how much memory requests of other nodes may take
     */
    public CopyGate(Set<Mechanism> disabledMechanisms, long maximumReceivedBytes) {
        runs = new RunTable(maximumReceivedBytes);
        order = disabledMechanisms.contains(Mechanism.OLDEST_FIRST) ? LocalRun.DEEPEST_FIRST : LocalRun.OLDEST_FIRST;
        limit = new RunLimit(!disabledMechanisms.contains(Mechanism.NEAR_FULL_LIMIT));
        dividesSlots = !disabledMechanisms.contains(Mechanism.WORK_CLASSES);
        line = new SingleLine(order);
    }

    /**
     * Sets what the callers of the copy's service need. If that changes how requests wait, those that wait should then
     * be offered again.
     *
     * @param now the monotonic time
     * @param work the work of the service, empty if it does not do both short and long work
     * @return whether it changes how requests wait
     */
    public boolean serves(long now, Optional<ServiceWork> work) {
        return serves(now, work, ClassQueue.Order.LEAST_SLACK);
    }

    /** Sets what callers need, and the order within a class of work. */
    boolean serves(long now, Optional<ServiceWork> work, ClassQueue.Order orderInClass) {
        Optional<ServiceWork> wanted = dividesSlots ? work : Optional.empty();
        Optional<ServiceWork> present =
                line instanceof ClassedLine classed ? Optional.of(classed.work()) : Optional.empty();
        if (wanted.equals(present)) {
            return false;
        }
        Collection<LocalRun> waiting = List.copyOf(line.waiting());
        line = wanted.<WaitingLine>map(needs -> new ClassedLine(now, needs, orderInClass))
                .orElseGet(() -> new SingleLine(order));
        runs.all().stream().filter(LocalRun::isRunning).forEach(run -> line.started(now, run));
        waiting.forEach(line::addReleased);
        return true;
    }

    /** How a running or waiting request ended. */
    public enum Ending {
        /** The copy fulfilled the request: its duration shows how fast the copy is. */
        DONE,
        /** The copy answered with a failure: its slot was used, which does not show how fast the copy is. */
        FAILED,
        /** The request ended without an answer: how long it used the slot is unknown. */
        BROKEN_OFF
    }

    /** The result of offering a request to the gate. Immutable and thread safe. */
    public sealed interface Offered {

        /** The request was started and has a slot. */
        record Started() implements Offered {}

        /**
         * The request waits in the queue.
         *
         * @param evicted a less important request that lost its place in the queue to this one
         */
        record Waits(Optional<LocalRun> evicted) implements Offered {}

        /** The queue is full, and no less important request waits. */
        record Full() implements Offered {}

        /** The copy's own limit of requests per second is used up, and another copy could take the request. */
        record OverRate() implements Offered {}

        /** The deadline of the request has passed. */
        record TooLate() implements Offered {}
    }

    /**
     * Sets how many requests may run at the copy.
     *
     * @param now the monotonic time
     * @param published the copy's slots
     */
    public void limit(long now, int published) {
        if (published != limit.slots()) {
            restarted(now, published);
        }
    }

    /**
     * Notes that the copy was restarted, and discards what was measured of its earlier process.
     *
     * @param now the monotonic time
     */
    public void copyRestarted(long now) {
        restarted(now, limit.slots());
    }

    private void restarted(long now, int slots) {
        limit.reset(now, slots);
        line.copyRestarted(now);
        times.copyRestarted();
        unheard = true;
    }

    /**
     * Notes that the copy refused a request although a slot should have been free, and lowers the limit.
     *
     * <p>A copy that refuses with half of its slots free has another reason, and fewer requests would not lead to fewer
     * refusals: the limit returns to all slots.
     */
    public void refused() {
        limit.refused((int) runs.all().stream().filter(LocalRun::isSentToCopy).count());
    }

    /** Notes that the copy answered, and raises a lowered limit. */
    public void answered() {
        limit.answered();
    }

    /**
     * Returns whether there is memory for a request that is to wait or run.
     *
     * @param run the request
     * @return whether there is; always for a request that entered at this node
     */
    public boolean hasMemoryFor(LocalRun run) {
        return runs.hasRoom(run);
    }

    /**
     * Returns whether there is memory for the body of a request that holds a place.
     *
     * @param run the request
     * @param body its body
     * @return whether there is
     */
    public boolean hasMemoryFor(LocalRun run, Body body) {
        return runs.hasRoom(run, body);
    }

    /**
     * Returns the memory of the requests that other nodes sent.
     *
     * @return the number of bytes
     */
    public long receivedBytes() {
        return runs.receivedBytes();
    }

    /**
     * Notes that the body of a request that holds a place has arrived.
     *
     * @param now the monotonic time
     * @param run the request
     * @param whole the request with its body
     */
    public void bodyArrived(long now, LocalRun run, CopyRequest whole) {
        runs.bodyArrived(now, run, whole);
    }

    /**
     * Offers a request: starts it, queues it or refuses it.
     *
     * @param now the monotonic time
     * @param run the request
     * @return the result
     */
    public Offered offer(long now, LocalRun run) {
        if (run.deadlineNanos() <= now) {
            return new Offered.TooLate();
        }
        pacer.asked(now);
        if (run.isAskedFirst()) {
            line.asked(now, run);
        }
        if (line.isHopeless(now, run)) {
            return new Offered.TooLate();
        }
        // The next start at a limited copy belongs to the first of those that wait for it.
        int slots = limit.now(now);
        boolean isNext = !pacer.isLimited() || !line.hasNext(now, slots);
        if (isNext && running < slots && line.mayStart(now, run, slots) && pacer.tryTake(now)) {
            start(now, run);
            return new Offered.Started();
        }
        if (pacer.isLimited() && !run.request().lastChoice()) {
            return new Offered.OverRate();
        }
        Offered offered = line.add(now, run, slots, queueCapacity());
        if (offered instanceof Offered.Waits(Optional<LocalRun> evicted)) {
            runs.put(run);
            evicted.ifPresent(this::forget);
        }
        return offered;
    }

    private int queueCapacity() {
        int bySlots = Math.max(MINIMUM_QUEUE_LENGTH, limit.slots() * QUEUED_PER_SLOT);
        return Math.min(bySlots, pacer.mostWaiting());
    }

    /** Notes that the copy has answered this process, so that its limit of requests per second is known. */
    public void heard() {
        unheard = false;
    }

    /**
     * Sets how many requests per second the copy takes. Requests that wait should then be offered again.
     *
     * @param now the monotonic time
     * @param requestsPerSecond the limit that the copy names, empty for none
     */
    public void limitRate(long now, OptionalDouble requestsPerSecond) {
        pacer.limit(now, requestsPerSecond);
    }

    /**
     * Queues a request that is suspected to crash copies until it may run beside few other suspects.
     *
     * @param run the request
     * @return whether the queue of suspects had room for it
     */
    public boolean enqueueSuspect(LocalRun run) {
        if (suspects.waiting().size() >= queueCapacity()) {
            return false;
        }
        runs.put(run);
        suspects.add(run);
        return true;
    }

    /**
     * Starts no suspected request before the given time.
     *
     * @param nanos the monotonic time
     */
    public void delaySuspectsUntil(long nanos) {
        suspects.delayUntil(nanos);
    }

    /**
     * Notes that a running request, which was not suspected when it was started, now is.
     *
     * @param run the request
     */
    public void suspectRunning(LocalRun run) {
        suspects.join(run);
    }

    /**
     * Removes all requests that were not sent to the copy.
     *
     * @return the requests, to be offered again or refused
     */
    public List<LocalRun> takeWaiting() {
        List<LocalRun> waiting = new ArrayList<>(line.waiting());
        waiting.addAll(suspects.waiting());
        waiting.forEach(this::forget);
        return waiting;
    }

    private void start(long now, LocalRun run) {
        runs.put(run);
        running++;
        run.start(now, running);
        line.started(now, run);
    }

    private void forget(LocalRun run) {
        runs.remove(run);
        suspects.remove(run);
        if (!run.isRunning()) {
            line.remove(run);
        }
    }

    /**
     * Finds a waiting or running request.
     *
     * @param attempt its attempt
     * @return the request
     */
    public Optional<LocalRun> find(AttemptIdentifier attempt) {
        return runs.find(attempt);
    }

    /**
     * Releases the slot of a request that ran, or the place in the queue of one that waited.
     *
     * @param now the monotonic time
     * @param run the request
     * @param ending how it ended
     */
    public void finished(long now, LocalRun run, Ending ending) {
        forget(run);
        if (run.isRunning()) {
            running--;
            line.finished(now, run, ending);
            if (ending != Ending.BROKEN_OFF) {
                times.answered(now, run);
                if (ending == Ending.DONE) {
                    long worked = run.ownNanos(now);
                    times.worked(now, worked);
                    limit.worked(run, worked);
                }
            }
        }
    }

    /**
     * Starts waiting requests while slots are free and the copy's own limit allows it.
     *
     * @param now the monotonic time
     * @return the requests, to be sent to the copy
     */
    public List<LocalRun> startNext(long now) {
        suspects.release(now).forEach(line::addReleased);
        List<LocalRun> started = new ArrayList<>();
        releaseNanos = Long.MAX_VALUE;
        while (running < limit.now(now) && !line.isEmpty()) {
            if (!pacer.tryTake(now)) {
                releaseNanos = pacer.nextStartNanos();
                break;
            }
            Optional<LocalRun> next = line.takeNext(now, limit.now(now));
            if (next.isEmpty()) {
                pacer.giveBack();
                releaseNanos = now + HELD_BACK_NANOS;
                break;
            }
            start(now, next.get());
            started.add(next.get());
        }
        return started;
    }

    /**
     * Removes the waiting requests that can no longer be answered in time.
     *
     * @param now the monotonic time
     * @param margin the time that an answer takes to reach the client
     * @return the requests, none of which was sent to the copy
     */
    public List<LocalRun> takeOverdue(long now, long margin) {
        if (nextOverdueNanos(margin) > now) {
            return List.of();
        }
        List<LocalRun> overdue = Stream.concat(line.waiting().stream(), suspects.waiting().stream())
                .filter(run -> line.overdueNanos(run, margin) <= now)
                .toList();
        overdue.forEach(this::forget);
        return overdue;
    }

    /**
     * Returns when the first waiting request becomes overdue.
     *
     * @param margin the time that an answer takes to reach the client
     * @return the monotonic time, {@link Long#MAX_VALUE} if none waits
     */
    public long nextOverdueNanos(long margin) {
        return Math.min(
                line.firstOverdueNanos(line.waiting(), margin), line.firstOverdueNanos(suspects.waiting(), margin));
    }

    /**
     * Returns when waiting requests may be started by the passing of time alone: suspects beside other suspects, or
     * requests that wait for the copy's own limit.
     *
     * @return the monotonic time, {@link Long#MAX_VALUE} if no request waits for that
     */
    public long nextReleaseNanos() {
        return Math.min(suspects.nextNanos(), releaseNanos);
    }

    /**
     * Returns the present load.
     *
     * @param now the monotonic time
     * @return the running and the waiting requests, and the limit
     */
    public LoadReport load(long now) {
        return new LoadReport(
                running,
                limit.now(now),
                line.size(),
                0,
                pacer.pace(now, limit.now(now), times.serviceNanos()),
                unheard,
                (float) (times.serviceNanos() / Nanos.PER_SECOND));
    }

    /**
     * Returns the mean time that the copy recently took for a request, without its own calls.
     *
     * @param now the monotonic time
     * @return seconds, 0 while unknown
     */
    public double workSeconds(long now) {
        return times.workSeconds(now);
    }

    /**
     * Returns the mean time that the copy recently took for a request, its calls included.
     *
     * @return nanoseconds, 0 while unknown
     */
    public long usualRunNanos() {
        return (long) times.serviceNanos();
    }

    /**
     * Returns how the slots are divided between short and long work.
     *
     * @param now the monotonic time
     * @return the division, empty while the slots are not divided
     */
    public Optional<SlotDivision> division(long now) {
        return line instanceof ClassedLine classed
                ? Optional.of(classed.division(now, limit.now(now)))
                : Optional.empty();
    }

    /**
     * Returns whether a request waits although a slot is free, which other work will need.
     *
     * @param now the monotonic time
     * @param run the request
     * @return whether it is held back
     */
    public boolean holdsBack(long now, LocalRun run) {
        return running < limit.now(now) && !pacer.isLimited() && !line.mayStart(now, run, limit.now(now));
    }

    /**
     * Estimates how long a new request would wait.
     *
     * @param now the monotonic time
     * @return nanoseconds
     */
    public long expectedWaitNanos(long now) {
        double bySlots = times.serviceNanos() * line.size() / limit.now(now);
        double byRate = (line.size() + 1) * Nanos.PER_SECOND / pacer.startsPerSecond();
        return (long) Math.max(bySlots, byRate);
    }

    /**
     * Returns whether no request waits or runs.
     *
     * @return whether the gate is empty
     */
    public boolean isEmpty() {
        return runs.all().isEmpty();
    }

    /**
     * Returns all waiting and running requests.
     *
     * @return the requests
     */
    public List<LocalRun> all() {
        return List.copyOf(runs.all());
    }
}
