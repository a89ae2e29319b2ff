package org.carawaysill.policy.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;

/**
 * Runs seven nodes of two services, one of which calls the other, under random publications, network partitions,
 * pauses, restarts and outages of the platform.
 */
class DistributionPropertyTest {

    private static final ServiceName ENTRY = new ServiceName("tracker");
    private static final ServiceName DEEP = new ServiceName("manifests");
    private static final Duration LIMIT = Duration.ofSeconds(5);

    /** A connection younger than this may not have carried its first heartbeat. */
    private static final long SETTLED_LINK_NANOS = 200 * VirtualFleet.MILLISECOND;

    enum Kind {
        PUBLISH,
        PUBLISH_TWICE,
        PUBLISH_INVALID,
        JUMP,
        PLATFORM_DOWN,
        PLATFORM_STALE,
        PLATFORM_UP,
        RESTART,
        PAUSE,
        CUT,
        JOIN,
        BREAK_CONNECTIONS
    }

    record Action(Kind kind, int node, int waitMillis) {}

    @Provide
    Arbitrary<List<Action>> schedules() {
        return Combinators.combine(
                        Arbitraries.of(Kind.class),
                        Arbitraries.integers().between(0, 6),
                        Arbitraries.integers().between(0, 4_000))
                .as(Action::new)
                .list()
                .ofMinSize(1)
                .ofMaxSize(25);
    }

    @Property(seed = "8", tries = 400)
    void versionsInForceNeverFallAndSettleWithinFiveSeconds(
            @ForAll long seed, @ForAll("schedules") List<Action> schedule) {
        VirtualFleet fleet = new VirtualFleet(seed);
        fleet.add(DEEP, List.of(), 3);
        fleet.add(ENTRY, List.of(DEEP.value()), 4);
        fleet.maxMessageDelay(30);
        fleet.checkAfterEachEvent(new VersionsNeverFall(fleet)::check);
        fleet.startAll();

        for (Action action : schedule) {
            perform(fleet, action);
            fleet.runFor(Duration.ofMillis(action.waitMillis));
        }
        fleet.setPartition(Set.of());
        fleet.platform.mode(VirtualPlatform.Mode.UP);
        fleet.names().forEach(name -> fleet.pause(name, Duration.ZERO));
        fleet.startAll();
        List.of(DEEP, ENTRY).forEach(service -> publishIfLost(fleet, service));
        fleet.runFor(LIMIT);

        fleet.running.values().forEach(node -> assertNewestInForce(fleet, node));
        assertEquals(7, fleet.running.size());
    }

    private static void perform(VirtualFleet fleet, Action action) {
        NodeName name = fleet.names().get(action.node);
        ServiceName service = action.node < 3 ? DEEP : ENTRY;
        Runnable step = switch (action.kind) {
            case PUBLISH -> () -> publish(fleet, service, "note " + fleet.nowNanos(), 1);
            case PUBLISH_TWICE ->
                () -> {
                    publish(fleet, service, "note first operator", 1);
                    publish(fleet, service, "note second operator", 1);
                };
            case PUBLISH_INVALID -> () -> publish(fleet, service, "nonsense", 1);
            case JUMP -> () -> publish(fleet, service, "note jump", 1_000);
            case PLATFORM_DOWN -> () -> fleet.platform.mode(VirtualPlatform.Mode.DOWN);
            case PLATFORM_STALE -> () -> fleet.platform.mode(VirtualPlatform.Mode.STALE);
            case PLATFORM_UP -> () -> fleet.platform.mode(VirtualPlatform.Mode.UP);
            case RESTART ->
                () -> {
                    fleet.kill(name);
                    fleet.after(Duration.ofMillis(action.waitMillis), () -> fleet.start(name));
                };
            case PAUSE -> () -> fleet.pause(name, Duration.ofMillis(2L * action.waitMillis));
            case CUT -> () -> fleet.setPartition(new HashSet<>(fleet.names().subList(0, action.node)));
            case JOIN -> () -> fleet.setPartition(Set.of());
            case BREAK_CONNECTIONS -> () -> fleet.breakLinks(name);
        };
        step.run();
    }

    /**
     * The platform returns only the newest value. While that is invalid, the last valid one is lost to a service of
     * which no node has it, until operators publish again.
     */
    private static void publishIfLost(VirtualFleet fleet, ServiceName document) {
        boolean lost = Stream.of(DEEP, ENTRY)
                .filter(service -> service.equals(document) || service.equals(ENTRY))
                .anyMatch(service -> noNodeHas(fleet, service, document));
        if (lost && !fleet.platform.newestIsValid(document)) {
            publish(fleet, document, "note corrected", 1);
        }
    }

    private static boolean noNodeHas(VirtualFleet fleet, ServiceName service, ServiceName document) {
        return fleet.running.values().stream()
                .filter(node -> node.service.equals(service))
                .flatMap(node -> node.distribution.newest(document).stream())
                .noneMatch(newest -> newest.version() == fleet.platform.lastValid(document));
    }

    private static void publish(VirtualFleet fleet, ServiceName service, String line, long step) {
        fleet.platform.publish(service, fleet.platform.text(service) + "\n" + line, step);
    }

    private static void assertNewestInForce(VirtualFleet fleet, VirtualNode node) {
        Map<ServiceName, Long> expected = new TreeMap<>(Map.of(DEEP, fleet.platform.lastValid(DEEP)));
        if (node.service.equals(ENTRY)) {
            expected.put(ENTRY, fleet.platform.lastValid(ENTRY));
        }
        assertTrue(node.distribution.readyToServe(), () -> node.name + " must be ready");
        assertEquals(expected, node.distribution.versions(), () -> "in force at " + node.name);
    }

    /** Checks that versions never fall, not even after a restart while a peer that has the version is connected. */
    private record VersionsNeverFall(
            VirtualFleet fleet, Map<NodeName, Map<ServiceName, Long>> highest, Map<NodeName, Long> incarnations) {

        VersionsNeverFall(VirtualFleet fleet) {
            this(fleet, new HashMap<>(), new HashMap<>());
        }

        void check(VirtualNode node) {
            Map<ServiceName, Long> before = highest.computeIfAbsent(node.name, _ -> new HashMap<>());
            Map<ServiceName, Long> present = node.distribution.versions();
            boolean sameProcess = incarnations.getOrDefault(node.name, -1L) == node.incarnation;
            present.forEach((service, version) -> {
                long floor = before.getOrDefault(service, 0L);
                if (sameProcess || connectedPeerHas(node, service, floor)) {
                    assertTrue(
                            version >= floor,
                            () -> node.name + " fell from " + floor + " to " + version + " of " + service);
                }
                before.put(service, version);
            });
            if (!present.isEmpty()) {
                incarnations.put(node.name, node.incarnation);
            }
        }

        private boolean connectedPeerHas(VirtualNode node, ServiceName service, long version) {
            return fleet.running.values().stream()
                    .filter(peer -> peer.service.equals(node.service) && !fleet.isPaused(peer.name))
                    .filter(peer -> peer.distribution
                            .newest(service)
                            .filter(newest -> newest.version() >= version)
                            .isPresent())
                    .anyMatch(peer -> fleet.linkedForNanos(node.name, peer.name) > SETTLED_LINK_NANOS
                            || fleet.linkedForNanos(node.name, peer.name) >= 0
                                    && node.hasReported(peer.name, service, version));
        }
    }
}
