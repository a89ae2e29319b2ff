package org.carawaysill.policy.fleet.copy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.carawaysill.policy.fleet.schedule.ClassParts;
import org.carawaysill.policy.fleet.schedule.RouteTimes;
import org.carawaysill.policy.fleet.schedule.ServiceWork;
import org.carawaysill.policy.fleet.schedule.WorkClass;

/**
 * Two queues, for short and for long work, each with a part of the slots.
 *
 * <p>Guards against long runs in all slots, behind which short calls wait that have no time to wait. Invariants: long
 * work has no more slots than its part, and at least one where it waits and a slot becomes free; a request whose route
 * has no learned time is never hopeless; while its class has its places, a request is refused only if no less important
 * one of the class waits. Not thread safe: owned by the gate.
 */
final class ClassedLine implements WaitingLine {

    private final ServiceWork work;
    private final RouteTimes times = new RouteTimes();
    private final ClassParts parts;
    private final Map<WorkClass, ClassQueue> queues = new EnumMap<>(WorkClass.class);
    private long knownNanos;

    ClassedLine(long now, ServiceWork work, ClassQueue.Order order) {
        this.work = work;
        parts = new ClassParts(now, work);
        for (WorkClass workClass : WorkClass.values()) {
            queues.put(workClass, new ClassQueue(work, times, order));
        }
    }

    ServiceWork work() {
        return work;
    }

    SlotDivision division(long now, int limit) {
        return new SlotDivision(
                limit,
                parts.guaranteedLong(now, limit),
                parts.mostLong(now, limit),
                shortWork().running(),
                longWork().running(),
                shortWork().waiting().size(),
                longWork().waiting().size());
    }

    private WorkClass classOf(LocalRun run) {
        return work.classOf(run.request().route());
    }

    private ClassQueue queueOf(LocalRun run) {
        return queues.get(classOf(run));
    }

    private ClassQueue shortWork() {
        return queues.get(WorkClass.SHORT);
    }

    private ClassQueue longWork() {
        return queues.get(WorkClass.LONG);
    }

    @Override
    public void asked(long now, LocalRun run) {
        knownNanos = now;
        parts.asked(now, classOf(run), times.meanNanos(now, run.request().route()));
    }

    @Override
    public boolean isHopeless(long now, LocalRun run) {
        return queueOf(run).isHopeless(now, run);
    }

    @Override
    public boolean mayStart(long now, LocalRun run, int limit) {
        return queueOf(run).waiting().isEmpty()
                && (classOf(run) == WorkClass.SHORT || longWork().running() < parts.mostLong(now, limit));
    }

    @Override
    public boolean hasNext(long now, int limit) {
        return !shortWork().waiting().isEmpty()
                || !longWork().waiting().isEmpty() && longWork().running() < parts.mostLong(now, limit);
    }

    @Override
    public CopyGate.Offered add(long now, LocalRun run, int limit, int capacity) {
        ClassQueue own = queueOf(run);
        boolean isFull = own.waiting().size() >= parts.mostWaiting(now, classOf(run), limit);
        if (!isFull && size() < 2 * capacity) {
            own.add(run);
            return new CopyGate.Offered.Waits(Optional.empty());
        }
        boolean hasItsHalf = isFull || own.waiting().size() >= capacity;
        ClassQueue losing = hasItsHalf ? own : other(own);
        LocalRun last = losing == own
                ? own.last(now, run)
                : losing.last(now, losing.waiting().getFirst());
        if (last == run) {
            return new CopyGate.Offered.Full();
        }
        losing.remove(last);
        own.add(run);
        return new CopyGate.Offered.Waits(Optional.of(last));
    }

    private ClassQueue other(ClassQueue queue) {
        return queue == shortWork() ? longWork() : shortWork();
    }

    @Override
    public void addReleased(LocalRun run) {
        queueOf(run).add(run);
    }

    @Override
    public Optional<LocalRun> takeNext(long now, int limit) {
        knownNanos = now;
        Optional<LocalRun> shortRun = shortWork().first(now);
        Optional<LocalRun> longRun =
                longWork().running() < parts.mostLong(now, limit) ? longWork().first(now) : Optional.empty();
        Optional<LocalRun> next = shortRun.isPresent() && longRun.isPresent()
                ? Optional.of(isLongNext(now, limit, shortRun.get(), longRun.get()) ? longRun.get() : shortRun.get())
                : shortRun.or(() -> longRun);
        next.ifPresent(this::remove);
        return next;
    }

    private boolean isLongNext(long now, int limit, LocalRun shortRun, LocalRun longRun) {
        int guaranteed = parts.guaranteedLong(now, limit);
        if (limit > guaranteed) {
            boolean isBelow = longWork().running() < guaranteed;
            return isBelow && shortWork().running() >= limit - guaranteed;
        }
        // No slot is held for short work: the classes take turns by the age of the requests.
        return longRun.request().rank() != shortRun.request().rank()
                ? longRun.request().rank() < shortRun.request().rank()
                : longRun.arrivedNanos() < shortRun.arrivedNanos();
    }

    @Override
    public void remove(LocalRun run) {
        queueOf(run).remove(run);
    }

    @Override
    public void started(long now, LocalRun run) {
        queueOf(run).started(now, run);
    }

    @Override
    public void finished(long now, LocalRun run, CopyGate.Ending ending) {
        queueOf(run).finished();
        if (ending != CopyGate.Ending.BROKEN_OFF) {
            long took = now - run.startedNanos();
            times.add(now, run.request().route(), took, ending == CopyGate.Ending.DONE);
        }
    }

    @Override
    public void copyRestarted(long now) {
        times.reset();
        parts.reset(now);
    }

    @Override
    public Collection<LocalRun> waiting() {
        List<LocalRun> all = new ArrayList<>(shortWork().waiting());
        all.addAll(longWork().waiting());
        return all;
    }

    @Override
    public int size() {
        return shortWork().waiting().size() + longWork().waiting().size();
    }

    @Override
    public long overdueNanos(LocalRun run, long margin) {
        long least = times.leastNanos(knownNanos, run.request().route());
        return run.deadlineNanos() - Math.max(margin, least);
    }
}
