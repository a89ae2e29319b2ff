package org.carawaysill.policy.membership;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.vm.VmList;
import org.carawaysill.model.vm.VmState;

/**
 * Reads the list of VMs from time to time and tells who newly appears in it as leaving.
 *
 * <p>Invariant: the bytes read per second have a bound that the fleet's size doesn't change: a list of more VMs is read less
 * often. Not thread safe: one thread owns it.
 */
final class VmListWatch {

    private static final int BYTES_PER_VM = 75;
    private static final int BYTES_PER_SECOND = 2_000;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final long shortestNanos;
    private final RandomGenerator random;
    private Optional<VmList> last = Optional.empty();
    private long nextReadNanos = Long.MIN_VALUE;

    VmListWatch(Duration shortest, RandomGenerator random) {
        this.shortestNanos = shortest.toNanos();
        this.random = random;
    }

    boolean takeDue(long now) {
        if (now < nextReadNanos) {
            return false;
        }
        int entries = last.map(list -> list.states().size()).orElse(0);
        long interval = Math.max(shortestNanos, entries * NANOS_PER_SECOND / BYTES_PER_SECOND * BYTES_PER_VM);
        nextReadNanos = now + interval / 2 + random.nextLong(interval);
        return true;
    }

    /**
     * Takes in a list.
     *
     * @param list the list
     * @return the nodes that are listed as leaving and were not so in the list before; a name that stays listed while a new
     *     process starts under it is not told again
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

    boolean readBefore() {
        return last.isPresent();
    }

    private static boolean isLeaving(VmList list, NodeName node) {
        return list.state(node).filter(VmState.LEAVING::equals).isPresent();
    }

    long nextWakeNanos() {
        return nextReadNanos;
    }
}
