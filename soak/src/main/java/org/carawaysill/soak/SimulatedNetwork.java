package org.carawaysill.soak;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.policy.event.Event;
import org.carawaysill.policy.message.PeerMessage;

/**
 * Simulates connections between nodes that lose, duplicate, delay and reorder messages. A partition first drops the
 * messages of a connection and later breaks it.
 *
 * <p>Invariant: a message is never delivered after its connection or a process at either end has ended. Not thread
 * safe: one schedule owns it.
 */
final class SimulatedNetwork {

    private static final long RECONNECT_NANOS = 150_000_000L;
    private static final long SILENCE_BEFORE_BREAK_NANOS = 2_500_000_000L;
    private static final long MAXIMUM_USUAL_DELAY_NANOS = 3_000_000L;
    private static final long MAXIMUM_LONG_DELAY_NANOS = 2_000_000_000L;

    private final EventQueue eventQueue;
    private final RandomGenerator random;
    private final Map<NodeName, SimulatedNode> nodes = new HashMap<>();
    private final Set<Direction> wanted = new HashSet<>();
    private final Map<Pair, Long> connections = new LinkedHashMap<>();
    private final Map<NodeName, Integer> sides = new HashMap<>();
    private long connectionSequence;
    private double lossRate;
    private double longDelayRate;

    SimulatedNetwork(EventQueue eventQueue, RandomGenerator random) {
        this.eventQueue = eventQueue;
        this.random = random;
    }

    void add(SimulatedNode node) {
        nodes.put(node.name(), node);
    }

    void setMessageFaults(double loss, double longDelay) {
        lossRate = loss;
        longDelayRate = longDelay;
    }

    /** Divides the nodes into sides that don't receive each other's messages. */
    void partition(Map<NodeName, Integer> newSides) {
        sides.clear();
        sides.putAll(newSides);
        Map<Pair, Long> silenced = new LinkedHashMap<>(connections);
        silenced.keySet().removeIf(pair -> onSameSide(pair.first(), pair.second()));
        silenced.forEach(
                (pair, connection) -> eventQueue.in(SILENCE_BEFORE_BREAK_NANOS, () -> breakIfSilent(pair, connection)));
    }

    void heal() {
        sides.clear();
    }

    private boolean onSameSide(NodeName first, NodeName second) {
        return sides.getOrDefault(first, 0).equals(sides.getOrDefault(second, 0));
    }

    private void breakIfSilent(Pair pair, long connection) {
        if (!onSameSide(pair.first(), pair.second())
                && Optional.of(connection).equals(Optional.ofNullable(connections.get(pair)))) {
            breakConnection(pair);
        }
    }

    private void breakConnection(Pair pair) {
        connections.remove(pair);
        reportLostConnection(pair.first(), pair.second());
        reportLostConnection(pair.second(), pair.first());
    }

    private void reportLostConnection(NodeName node, NodeName peer) {
        SimulatedNode side = nodes.get(node);
        side.deliver(side.incarnation(), new Event.PeerLost(peer));
        if (wanted.contains(new Direction(node, peer))) {
            eventQueue.in(RECONNECT_NANOS, () -> dial(node, peer));
        }
    }

    void processEnded(NodeName node) {
        wanted.removeIf(direction -> direction.from().equals(node));
        List.copyOf(connections.keySet()).stream()
                .filter(pair -> pair.first().equals(node) || pair.second().equals(node))
                .forEach(this::breakConnection);
    }

    void connect(NodeName from, NodeName to) {
        wanted.add(new Direction(from, to));
        eventQueue.in(delay(), () -> dial(from, to));
    }

    void disconnect(NodeName from, NodeName to) {
        wanted.remove(new Direction(from, to));
        Pair pair = Pair.of(from, to);
        if (!wanted.contains(new Direction(to, from)) && connections.containsKey(pair)) {
            breakConnection(pair);
        }
    }

    private void dial(NodeName from, NodeName to) {
        Pair pair = Pair.of(from, to);
        if (!wanted.contains(new Direction(from, to)) || connections.containsKey(pair)) {
            return;
        }
        SimulatedNode caller = nodes.get(from);
        SimulatedNode callee = nodes.get(to);
        if (callee == null || !callee.alive() || !onSameSide(from, to)) {
            eventQueue.in(RECONNECT_NANOS, () -> dial(from, to));
            return;
        }
        connectionSequence++;
        connections.put(pair, connectionSequence);
        caller.deliver(caller.incarnation(), new Event.PeerConnected(to, callee.incarnation()));
        callee.deliver(callee.incarnation(), new Event.PeerConnected(from, caller.incarnation()));
    }

    void send(SimulatedNode from, NodeName to, PeerMessage message) {
        Long connection = connections.get(Pair.of(from.name(), to));
        if (connection == null) {
            from.deliver(from.incarnation(), new Event.PeerUnsent(to, message));
            return;
        }
        int copies = random.nextDouble() < lossRate ? random.nextInt(3) : 1;
        for (int i = 0; i < copies; i++) {
            eventQueue.in(delay(), () -> arrive(from.name(), to, connection, message));
        }
    }

    private void arrive(NodeName from, NodeName to, long connection, PeerMessage message) {
        Long present = connections.get(Pair.of(from, to));
        if (present != null && present == connection && onSameSide(from, to)) {
            SimulatedNode receiver = nodes.get(to);
            receiver.deliver(receiver.incarnation(), new Event.PeerReceived(from, message));
        }
    }

    private long delay() {
        long bound = random.nextDouble() < longDelayRate ? MAXIMUM_LONG_DELAY_NANOS : MAXIMUM_USUAL_DELAY_NANOS;
        return random.nextLong(200_000L, bound);
    }

    private record Direction(NodeName from, NodeName to) {}

    private record Pair(NodeName first, NodeName second) {
        static Pair of(NodeName one, NodeName other) {
            return one.compareTo(other) < 0 ? new Pair(one, other) : new Pair(other, one);
        }
    }
}
