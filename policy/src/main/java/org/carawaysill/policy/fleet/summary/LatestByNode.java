package org.carawaysill.policy.fleet.summary;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.carawaysill.model.identity.NodeName;

/**
 * What each of several nodes told last, for as long as that counts.
 *
 * <p>Not thread safe: owned by the policy.
 *
 * @param <V> what they tell
 */
final class LatestByNode<V> {

    private final Map<NodeName, Told<V>> byNode = new HashMap<>();

    private record Told<V>(V value, long nanos) {}

    void put(long now, NodeName node, V value) {
        byNode.put(node, new Told<>(value, now));
    }

    void remove(NodeName node) {
        byNode.remove(node);
    }

    void dropOlderThan(long now, Duration age) {
        byNode.values().removeIf(told -> now - told.nanos() > age.toNanos());
    }

    List<NodeName> nodes() {
        return List.copyOf(byNode.keySet());
    }

    /** Returns what they told, the latest last. */
    List<V> values() {
        return byNode.values().stream()
                .sorted(Comparator.comparingLong(Told::nanos))
                .map(Told::value)
                .toList();
    }

    void forEach(BiConsumer<NodeName, V> receiver) {
        byNode.forEach((node, told) -> receiver.accept(node, told.value()));
    }
}
