package org.carawaysill.policy.distribution;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.carawaysill.model.configuration.CopyEntry;
import org.carawaysill.model.configuration.ServiceConfiguration;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.vm.VmList;

/**
 * Holds back what a starting node has read until it has learned what its peers have in force.
 *
 * <p>The failure: a node restarts with empty memory and reads a replica of the platform that lags; it would serve under an
 * older configuration than before its restart. Every configuration in force is held by the other nodes of the service
 * within seconds, so the answers of all of them, or of a majority where some can't be reached, show it. A node that hears
 * nobody keeps waiting: it can't tell an old document from the newest.
 *
 * <p>Invariant: once open it stays open. Not thread safe: one thread owns it.
 */
final class StartingGate {

    private final NodeName self;
    private final long boundNanos;
    private long documentSinceNanos = Long.MAX_VALUE;
    private Optional<VmList> vmList = Optional.empty();
    private boolean open;

    StartingGate(NodeName self, Duration bound) {
        this.self = self;
        this.boundNanos = bound.toNanos();
    }

    boolean isOpen() {
        return open;
    }

    void vmList(VmList list) {
        vmList = Optional.of(list);
    }

    /**
     * Opens it if enough others have answered.
     *
     * @param now nanoseconds on the monotonic clock
     * @param own the newest configuration of the own service, if there is one
     * @param answered whether a node has told its versions
     * @param behind whether a connected node is known to have a newer version that hasn't arrived yet
     * @return whether it opened just now
     */
    boolean tryOpen(long now, Optional<ServiceConfiguration> own, Predicate<NodeName> answered, boolean behind) {
        if (open || own.isEmpty()) {
            return false;
        }
        documentSinceNanos = Math.min(documentSinceNanos, now);
        open = !behind && enoughAnswered(now, own.get(), answered);
        return open;
    }

    private boolean enoughAnswered(long now, ServiceConfiguration own, Predicate<NodeName> answered) {
        List<NodeName> others = own.copies().stream()
                .map(CopyEntry::node)
                .filter(node -> !node.equals(self))
                .toList();
        if (others.stream().allMatch(answered)) {
            return true;
        }
        if (now < documentSinceNanos + boundNanos) {
            return false;
        }
        List<NodeName> expected = others.stream()
                .filter(node -> answered.test(node) || mayLive(node))
                .toList();
        return expected.stream().filter(answered).count() * 2 > expected.size() || expected.isEmpty();
    }

    /** A VM that the list no longer has will not answer; while there is no list, every node may be there. */
    private boolean mayLive(NodeName node) {
        return vmList.map(list -> list.state(node).isPresent()).orElse(true);
    }

    long nextWakeNanos(long now) {
        boolean waiting = !open && documentSinceNanos != Long.MAX_VALUE && now < documentSinceNanos + boundNanos;
        return waiting ? documentSinceNanos + boundNanos : Long.MAX_VALUE;
    }
}
