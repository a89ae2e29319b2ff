package org.carawaysill.policy.membership;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.vm.VmList;
import org.carawaysill.model.vm.VmState;

/**
 * Schedules the reads of the list of VMs and finds the nodes that it newly shows as leaving.
 *
 * <p>Invariant: the number of bytes read per second has an upper bound that doesn't depend on the size of the fleet,
 * because a longer list is read less often. Not thread safe: one thread owns it.
 */
final class VmListWatch {

    private static final int BYTES_PER_VM = 75;
    private static final int BYTES_PER_SECOND = 2_000;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final long minimumIntervalNanos;
    private final RandomGenerator random;
    private Optional<VmList> last = Optional.empty();
    private long nextReadNanos = Long.MIN_VALUE;

    VmListWatch(Duration minimumInterval, RandomGenerator random) {
        this.minimumIntervalNanos = minimumInterval.toNanos();
        this.random = random;
    }

    boolean startReadIfDue(long now) {
        if (now < nextReadNanos) {
            return false;
        }
        int entries = last.map(list -> list.states().size()).orElse(0);
        long interval = Math.max(minimumIntervalNanos, entries * NANOS_PER_SECOND / BYTES_PER_SECOND * BYTES_PER_VM);
        nextReadNanos = now + interval / 2 + random.nextLong(interval);
        return true;
    }

    /**
     * Processes a list that was read.
     *
     * @param list the list
     * @return the nodes that are leaving in this list and were not in the previous one; a name that stays listed as
     *     leaving while a new process starts under it is not returned again
     */
    List<NodeName> newlyLeaving(VmList list) {
        List<NodeName> leaving = list.states().keySet().stream()
                .filter(node -> isLeaving(list, node))
                .filter(node -> last.map(before -> !isLeaving(before, node)).orElse(true))
                .sorted()
                .toList();
        last = Optional.of(list);
        return leaving;
    }

    boolean hasBeenRead() {
        return last.isPresent();
    }

    private static boolean isLeaving(VmList list, NodeName node) {
        return list.state(node).filter(VmState.LEAVING::equals).isPresent();
    }

    long nextWakeNanos() {
        return nextReadNanos;
    }
}
