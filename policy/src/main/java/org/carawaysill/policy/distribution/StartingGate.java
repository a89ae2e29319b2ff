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
 * Keeps a starting node from putting documents in force until it knows the versions in force at its peers.
 *
 * <p>Guards against a node that restarts without state, reads a lagging replica of the platform, and serves under an
 * older configuration than before its restart. Every configuration in force reaches the other nodes of the service
 * within seconds, so the answers of all of them, or of a majority if some can't be reached, show it. A node without
 * contact to any other keeps waiting, since it can't distinguish an old document from the newest.
 *
 * <p>Invariant: once open, the gate stays open. Not thread safe: one thread owns it.
 */
final class StartingGate {

    private final NodeName self;
    private final long timeoutNanos;
    private long documentSinceNanos = Long.MAX_VALUE;
    private Optional<VmList> vmList = Optional.empty();
    private boolean open;

    StartingGate(NodeName self, Duration timeout) {
        this.self = self;
        this.timeoutNanos = timeout.toNanos();
    }

    boolean isOpen() {
        return open;
    }

    void vmList(VmList list) {
        vmList = Optional.of(list);
    }

    /**
     * Opens the gate if enough other nodes have answered.
     *
     * @param now nanoseconds on the monotonic clock
     * @param own the newest configuration of the own service, if there is one
     * @param answered whether a node has reported its versions
     * @param behind whether a connected node is known to have a newer version that has not been received yet
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
        if (now < documentSinceNanos + timeoutNanos) {
            return false;
        }
        List<NodeName> expected = others.stream()
                .filter(node -> answered.test(node) || mayAnswer(node))
                .toList();
        return expected.stream().filter(answered).count() * 2 > expected.size() || expected.isEmpty();
    }

    /** Returns whether a node may still answer: its VM is in the list, or the list is not known yet. */
    private boolean mayAnswer(NodeName node) {
        return vmList.map(list -> list.state(node).isPresent()).orElse(true);
    }

    long nextWakeNanos(long now) {
        boolean waiting = !open && documentSinceNanos != Long.MAX_VALUE && now < documentSinceNanos + timeoutNanos;
        return waiting ? documentSinceNanos + timeoutNanos : Long.MAX_VALUE;
    }
}
