package org.carawaysill.policy.fleet.copy;

import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * One queue for all requests.
 *
 * <p>Invariant: a request is refused only while no less important one waits. Not thread safe: owned by the gate.
 */
final class SingleLine implements WaitingLine {

    private final Comparator<LocalRun> order;
    private final PriorityQueue<LocalRun> queue;

    SingleLine(Comparator<LocalRun> order) {
        this.order = order;
        queue = new PriorityQueue<>(order);
    }

    @Override
    public void asked(long now, LocalRun run) {}

    @Override
    public boolean isHopeless(long now, LocalRun run) {
        return false;
    }

    @Override
    public boolean mayStart(long now, LocalRun run, int limit) {
        return true;
    }

    @Override
    public boolean hasNext(long now, int limit) {
        return !queue.isEmpty();
    }

    @Override
    public CopyGate.Offered add(long now, LocalRun run, int limit, int capacity) {
        if (queue.size() < capacity) {
            queue.add(run);
            return new CopyGate.Offered.Waits(Optional.empty());
        }
        LocalRun worst = queue.stream().max(order).orElseThrow();
        if (order.compare(run, worst) >= 0) {
            return new CopyGate.Offered.Full();
        }
        queue.remove(worst);
        queue.add(run);
        return new CopyGate.Offered.Waits(Optional.of(worst));
    }

    @Override
    public void addReleased(LocalRun run) {
        queue.add(run);
    }

    @Override
    public Optional<LocalRun> takeNext(long now, int limit) {
        return Optional.ofNullable(queue.poll());
    }

    @Override
    public void remove(LocalRun run) {
        queue.remove(run);
    }

    @Override
    public void started(long now, LocalRun run) {}

    @Override
    public void finished(long now, LocalRun run, CopyGate.Ending ending) {}

    @Override
    public void copyRestarted(long now) {}

    @Override
    public Collection<LocalRun> waiting() {
        return Collections.unmodifiableCollection(queue);
    }

    @Override
    public int size() {
        return queue.size();
    }

    @Override
    public long overdueNanos(LocalRun run, long margin) {
        return run.deadlineNanos() - margin;
    }
}
