package org.carawaysill.policy.distribution;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.vm.VmList;
import org.carawaysill.model.vm.VmState;
import org.carawaysill.policy.effect.Effect;
import org.carawaysill.policy.event.Event;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.policy.time.Moment;

/**
 * Simulates nodes of a few services in virtual time, over a network that can be partitioned, with processes that can be
 * paused and restarted. A partition drops messages silently; a killed process resets its connections.
 */
final class VirtualFleet {

    static final long SECOND = 1_000_000_000L;
    static final long MILLISECOND = 1_000_000L;
    private static final long RECONNECT_DELAY = 500 * MILLISECOND;

    private record Timed(long at, long order, Runnable action) {}

    private record Link(NodeName one, NodeName other) {}

    final VirtualPlatform platform = new VirtualPlatform();
    final Map<NodeName, VirtualNode> running = new TreeMap<>();
    private final Map<NodeName, ServiceName> names = new TreeMap<>();
    private final Map<Link, Long> linkedSince = new HashMap<>();
    private final Set<Link> wanted = new HashSet<>();
    private final Map<NodeName, Long> pausedUntil = new HashMap<>();
    private final Map<VirtualNode, Long> wakes = new HashMap<>();
    private final PriorityQueue<Timed> queue =
            new PriorityQueue<>(Comparator.comparingLong(Timed::at).thenComparingLong(Timed::order));
    private final SplittableRandom random;
    private Set<NodeName> partition = Set.of();
    private Consumer<VirtualNode> check = _ -> {};
    private boolean disconnectAll;
    private long now;
    private long order;
    private int maxDelayMillis = 2;
    private long messages;

    VirtualFleet(long seed) {
        random = new SplittableRandom(seed);
    }

    void checkAfterEachEvent(Consumer<VirtualNode> invariant) {
        check = invariant;
    }

    void maxMessageDelay(int millis) {
        maxDelayMillis = millis;
    }

    void add(ServiceName service, List<String> calls, int copies) {
        platform.publish(service, TestDocuments.text(service, calls, copies, 3), 1);
        for (int i = 1; i <= copies; i++) {
            names.put(new NodeName(service + "-" + i), service);
        }
    }

    List<NodeName> names() {
        return List.copyOf(names.keySet());
    }

    void startAll() {
        names.keySet().forEach(this::start);
    }

    void start(NodeName name) {
        if (running.containsKey(name)) {
            return;
        }
        VirtualNode node = new VirtualNode(name, names.get(name), now / MILLISECOND, random.split());
        running.put(name, node);
        deliver(node, new Event.WakeUp());
    }

    void kill(NodeName name) {
        running.remove(name);
        linkedSince.keySet().stream()
                .filter(link -> link.one.equals(name) || link.other.equals(name))
                .toList()
                .forEach(this::breakLink);
        wanted.removeIf(link -> link.one.equals(name));
    }

    void pause(NodeName name, Duration duration) {
        pausedUntil.put(name, now + duration.toNanos());
    }

    boolean isPaused(NodeName name) {
        return pausedUntil.getOrDefault(name, 0L) > now;
    }

    void setPartition(Set<NodeName> separated) {
        partition = separated;
    }

    void disconnectAll() {
        disconnectAll = true;
    }

    void breakLinks(NodeName name) {
        linkedSince.keySet().stream()
                .filter(link -> link.one.equals(name))
                .toList()
                .forEach(this::breakLink);
    }

    void after(Duration delay, Runnable action) {
        at(now + delay.toNanos(), action);
    }

    long messages() {
        return messages;
    }

    long nowNanos() {
        return now;
    }

    void runFor(Duration duration) {
        long end = now + duration.toNanos();
        while (!queue.isEmpty() && queue.peek().at <= end) {
            Timed next = queue.poll();
            now = Math.max(now, next.at);
            next.action.run();
        }
        now = end;
    }

    boolean canReach(NodeName one, NodeName other) {
        return !disconnectAll && partition.contains(one) == partition.contains(other) && running.containsKey(other);
    }

    /** Returns how long two nodes have been connected, or -1 if they are not. */
    long linkedForNanos(NodeName one, NodeName other) {
        Long since = linkedSince.get(link(one, other));
        return since == null || !canReach(one, other) ? -1 : now - since;
    }

    private void at(long time, Runnable action) {
        queue.add(new Timed(time, order++, action));
    }

    private void deliver(VirtualNode node, Event event) {
        long resumes = pausedUntil.getOrDefault(node.name, 0L);
        if (resumes > now) {
            at(resumes, () -> deliver(node, event));
            return;
        }
        if (running.get(node.name) != node) {
            return;
        }
        node.handle(new Moment(now, now / MILLISECOND), event).forEach(effect -> execute(node, effect));
        check.accept(node);
        long wake = Math.max(node.nextWakeNanos(), now + 1);
        if (wake < wakes.getOrDefault(node, Long.MAX_VALUE)) {
            wakes.put(node, wake);
            at(wake, () -> {
                wakes.remove(node);
                deliver(node, new Event.WakeUp());
            });
        }
    }

    private void execute(VirtualNode node, Effect effect) {
        if (effect instanceof Effect.SendToPeer send) {
            send(node, send.peer(), send.message());
        } else if (effect instanceof Effect.ConnectPeer connect) {
            wanted.add(new Link(node.name, connect.peer()));
            connect(node, connect.peer());
        } else if (effect instanceof Effect.DisconnectPeer disconnect) {
            wanted.remove(new Link(node.name, disconnect.peer()));
        } else if (effect instanceof Effect.ReadConfiguration read) {
            Runnable end = platform.read(
                    now,
                    read.service(),
                    read.knownVersion(),
                    event -> at(now + 2 * MILLISECOND, () -> deliver(node, event)));
            at(now + read.maximumWait().toNanos(), end);
        } else if (effect instanceof Effect.ReadVmList) {
            VmList list =
                    new VmList(names.keySet().stream().collect(Collectors.toMap(name -> name, _ -> VmState.LIVE)));
            at(now + MILLISECOND, () -> deliver(node, new Event.VmListRead(list)));
        }
    }

    private void send(VirtualNode from, NodeName to, PeerMessage message) {
        messages++;
        long delay = MILLISECOND / 2 + random.nextLong(maxDelayMillis * MILLISECOND);
        long since = linkedSince.getOrDefault(link(from.name, to), -1L);
        at(now + delay, () -> {
            if (since >= 0 && canReach(from.name, to) && linkedSince.getOrDefault(link(from.name, to), -1L) == since) {
                deliver(running.get(to), new Event.PeerReceived(from.name, message));
            }
        });
    }

    private void connect(VirtualNode node, NodeName peer) {
        boolean givenUp = running.get(node.name) != node || !wanted.contains(new Link(node.name, peer));
        if (givenUp || disconnectAll || linkedSince.containsKey(link(node.name, peer))) {
            return;
        }
        if (!canReach(node.name, peer) || isPaused(peer)) {
            at(now + RECONNECT_DELAY, () -> connect(node, peer));
            return;
        }
        linkedSince.put(link(node.name, peer), now);
        VirtualNode other = running.get(peer);
        at(now + MILLISECOND, () -> deliver(node, new Event.PeerConnected(peer, other.incarnation)));
        at(now + MILLISECOND, () -> deliver(other, new Event.PeerConnected(node.name, node.incarnation)));
    }

    private void breakLink(Link link) {
        linkedSince.remove(link);
        for (NodeName end : List.of(link.one, link.other)) {
            VirtualNode node = running.get(end);
            if (node != null) {
                NodeName peer = end.equals(link.one) ? link.other : link.one;
                at(now + MILLISECOND, () -> deliver(node, new Event.PeerLost(peer)));
                at(now + RECONNECT_DELAY, () -> connect(node, peer));
            }
        }
    }

    private static Link link(NodeName one, NodeName other) {
        return one.compareTo(other) < 0 ? new Link(one, other) : new Link(other, one);
    }
}
