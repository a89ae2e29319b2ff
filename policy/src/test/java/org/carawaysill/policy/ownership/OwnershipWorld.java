package org.carawaysill.policy.ownership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.carawaysill.model.configuration.CopyEntry;
import org.carawaysill.model.configuration.ServiceConfiguration;
import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Importance;
import org.carawaysill.model.request.RequestTerms;
import org.carawaysill.model.vm.VmList;
import org.carawaysill.model.vm.VmState;
import org.carawaysill.policy.effect.Effect;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.policy.message.PeerMessage.HolderHandover;
import org.carawaysill.policy.message.PeerMessage.LeaseReply;
import org.carawaysill.policy.message.PeerMessage.LeaseRequest;
import org.carawaysill.policy.message.PeerMessage.RosterMember;

/**
 * Simulates several holders in virtual time, on a network that loses, duplicates, delays and reorders messages.
 *
 * <p>VMs can be paused, restarted with empty memory, replaced under their name and partitioned; rosters reach them late or
 * never, and the list of VMs lags. A message to a name reaches every process of that name, as can happen after a
 * replacement. Deterministic for one seed. Not thread safe.
 */
final class OwnershipWorld {

    static final LeaseSettings LEASE = new LeaseSettings(
            Duration.ofSeconds(3),
            Duration.ofSeconds(1),
            Duration.ofMillis(100),
            Duration.ofSeconds(1),
            Duration.ofSeconds(2),
            Duration.ofSeconds(3));
    static final HolderSettings TABLE =
            new HolderSettings(Duration.ofSeconds(20), Duration.ofSeconds(5), Duration.ofMillis(500), 200, 100_000);
    static final ServiceName SERVICE = new ServiceName("issuer");

    private static final long MILLI = 1_000_000L;
    private static final RequestTerms TERMS = new RequestTerms(Importance.ORDINARY, false, 2, Duration.ofSeconds(2));

    final Random random;
    final List<SimulatedNode> nodes = new ArrayList<>();
    private final LeaseSettings lease;
    private final HolderSettings table;
    private final PriorityQueue<Scheduled> queue = new PriorityQueue<>();
    private final Set<Set<RosterMember>> partitions = new HashSet<>();
    private final Map<SimulatedNode, Long> wakeAt = new HashMap<>();
    private long scheduled;
    private long real;
    private double loss;
    private double duplication;
    private long slowestMillis = 20;

    private record Scheduled(long at, long order, Runnable action) implements Comparable<Scheduled> {

        @Override
        public int compareTo(Scheduled other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    OwnershipWorld(long seed) {
        this.random = new Random(seed);
        boolean tightClocks = random.nextBoolean();
        this.lease = new LeaseSettings(
                Duration.ofSeconds(3),
                Duration.ofSeconds(1),
                Duration.ofMillis(100),
                Duration.ofMillis(tightClocks ? 40 : 1_000),
                Duration.ofSeconds(2),
                Duration.ofSeconds(3));
        this.table = new HolderSettings(
                Duration.ofSeconds(20), Duration.ofSeconds(2), Duration.ofMillis(tightClocks ? 0 : 500), 20, 20_000);
    }

    LeaseSettings lease() {
        return lease;
    }

    HolderSettings table() {
        return table;
    }

    void network(double newLoss, double newDuplication, long newSlowestMillis) {
        loss = newLoss;
        duplication = newDuplication;
        slowestMillis = newSlowestMillis;
    }

    long real() {
        return real;
    }

    void after(long millis, Runnable action) {
        queue.add(new Scheduled(real + millis * MILLI, scheduled++, action));
    }

    /** Advances time and runs the actions that are due. */
    void run(long millis) {
        long end = real + millis * MILLI;
        while (!queue.isEmpty() && queue.peek().at <= end) {
            Scheduled next = queue.poll();
            real = Math.max(real, next.at);
            next.action.run();
        }
        real = end;
    }

    SimulatedNode vm(String name, int generation) {
        SimulatedNode node = new SimulatedNode(
                new RosterMember(new NodeName(name), "10.0." + generation + ".1", 7000),
                random,
                lease.clockMargin().toMillis());
        nodes.add(node);
        return node;
    }

    void start(SimulatedNode node, ServiceConfiguration document) {
        node.start(real, SERVICE, lease, table);
        read(node, document);
    }

    void read(SimulatedNode node, ServiceConfiguration document) {
        at(node, () -> {
            if (node.document() == null || node.document().version() <= document.version()) {
                node.document(document);
            }
            effects(node, node.holder().roster(node.now(real), document));
        });
    }

    /** Runs an action on a node: now, after its pause, or never if it is down or has restarted by then. */
    void at(SimulatedNode node, Runnable action) {
        long incarnation = node.incarnation();
        if (node.up() && node.paused(real)) {
            queue.add(new Scheduled(node.pausedUntil(), scheduled++, () -> {
                if (node.incarnation() == incarnation) {
                    at(node, action);
                }
            }));
        } else if (node.up()) {
            action.run();
            scheduleWake(node);
        }
    }

    void effects(SimulatedNode node, List<Effect> effects) {
        for (Effect effect : effects) {
            if (effect instanceof Effect.SendToPeer send) {
                send(node, send.peer(), send.message());
            }
        }
    }

    void partition(SimulatedNode one, SimulatedNode other) {
        partitions.add(Set.of(one.member, other.member));
    }

    void endPartitions() {
        partitions.clear();
    }

    void listVms(SimulatedNode node, List<SimulatedNode> listed) {
        Map<NodeName, VmState> states = new HashMap<>();
        Map<NodeName, String> hosts = new HashMap<>();
        for (SimulatedNode vm : listed) {
            states.put(vm.member.node(), VmState.LIVE);
            hosts.put(vm.member.node(), vm.member.host());
        }
        at(node, () -> node.holder().vmList(node.now(real), new VmList(states, hosts)));
    }

    static ServiceConfiguration configuration(long version, List<SimulatedNode> roster) {
        List<CopyEntry> copies = roster.stream()
                .map(node -> new CopyEntry(
                        node.member.node(),
                        new AvailabilityZone("molo-nord"),
                        node.member.host(),
                        node.member.port(),
                        1,
                        1))
                .toList();
        return ServiceConfiguration.builder(SERVICE, version, copies)
                .defaults(TERMS)
                .build();
    }

    private void scheduleWake(SimulatedNode node) {
        long wake = Math.max(real, node.real(node.holder().nextWakeNanos()));
        Long planned = wakeAt.get(node);
        if (wake == Long.MAX_VALUE || planned != null && planned >= real && planned <= wake) {
            return;
        }
        wakeAt.put(node, wake);
        long incarnation = node.incarnation();
        queue.add(new Scheduled(wake, scheduled++, () -> {
            if (node.incarnation() == incarnation) {
                wakeAt.remove(node);
                at(node, () -> effects(node, node.holder().wakeUp(node.now(real))));
            }
        }));
    }

    private void send(SimulatedNode from, NodeName to, PeerMessage message) {
        for (SimulatedNode target : nodes) {
            if (target.member.node().equals(to) && target != from) {
                int copies = random.nextDouble() < duplication ? 2 : 1;
                for (int i = 0; i < copies; i++) {
                    sendOnce(from, target, message);
                }
            }
        }
    }

    private void sendOnce(SimulatedNode from, SimulatedNode target, PeerMessage message) {
        if (random.nextDouble() < loss) {
            return;
        }
        long delay = 1 + random.nextLong(random.nextInt(20) == 0 ? slowestMillis * 100 : slowestMillis);
        after(delay, () -> {
            if (!partitions.contains(Set.of(from.member, target.member))) {
                at(target, () -> receive(target, from.member.node(), message));
            }
        });
    }

    private void receive(SimulatedNode node, NodeName from, PeerMessage message) {
        switch (message) {
            case LeaseRequest request -> effects(node, node.holder().requested(node.now(real), from, request));
            case LeaseReply reply -> effects(node, node.holder().replied(node.now(real), from, reply));
            case HolderHandover handover -> node.holder().accept(node.now(real), from, handover);
            default -> throw new IllegalStateException("unexpected message to a holder: " + message);
        }
    }
}
