package org.carawaysill.policy.fleet.summary;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.carawaysill.model.identity.NodeName;

/**
 * Keeps the latest value from each of several nodes, until it expires.
 *
 * <p>Not thread safe: owned by the policy.
 *
 * @param <V> the type of the values
 */
final class LatestByNode<V> {

    private final Map<NodeName, Received<V>> byNode = new HashMap<>();

    private record Received<V>(V value, long nanos) {}

    void put(long now, NodeName node, V value) {
        byNode.put(node, new Received<>(value, now));
    }

    void remove(NodeName node) {
        byNode.remove(node);
    }

    void dropOlderThan(long now, Duration age) {
        byNode.values().removeIf(received -> now - received.nanos() > age.toNanos());
    }

    List<NodeName> nodes() {
        return List.copyOf(byNode.keySet());
    }

    /** Returns the values, the latest last. */
    List<V> values() {
        return byNode.values().stream()
                .sorted(Comparator.comparingLong(Received::nanos))
                .map(Received::value)
                .toList();
    }

    void forEach(BiConsumer<NodeName, V> receiver) {
        byNode.forEach((node, received) -> receiver.accept(node, received.value()));
    }
}
