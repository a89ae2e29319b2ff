package org.carawaysill.policy.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.carawaysill.model.configuration.ServiceConfiguration;
import org.junit.jupiter.api.Assertions;

/**
 * A caller repeats an issuance at every node while nodes are paused, killed, replaced and cut off and rosters change;
 * the issuance must not run twice, and once the faults end all must run again.
 */
class AtMostOnceProperties {

    private static final int FAULTY_MILLIS = 40_000;
    private static final int STEP_MILLIS = 100;
    private static final int CALM_MILLIS = 25_000;

    @Property(seed = "1", tries = 1_000, shrinking = ShrinkingMode.OFF)
    void runsEachIdentifierAtMostOnceAndRecovers(@ForAll long seed) {
        Fleet fleet = new Fleet(seed);
        fleet.coldStart();
        for (int i = 0; i < FAULTY_MILLIS / STEP_MILLIS; i++) {
            fleet.step();
        }
        fleet.calmDown();
        Assertions.assertTrue(fleet.allHold(), () -> "no lease after the faults ended, seed " + seed);
    }

    /** The published rosters and the VMs of one run. */
    private static final class Fleet {

        private static final List<String> NAMES = List.of("issuer-1", "issuer-2", "issuer-3", "issuer-4", "issuer-5");

        private final OwnershipWorld world;
        private final SimulatedClients clients;
        private final Random random;
        private final List<ServiceConfiguration> published = new ArrayList<>();
        private final List<SimulatedNode> roster = new ArrayList<>();
        private int generation;

        Fleet(long seed) {
            world = new OwnershipWorld(seed);
            clients = new SimulatedClients(world);
            random = world.random;
        }

        void coldStart() {
            int size = 1 + random.nextInt(4);
            NAMES.subList(0, size).forEach(name -> roster.add(world.vm(name, generation)));
            publish();
            roster.forEach(node -> world.start(node, published.getLast()));
            world.run(random.nextInt(8_000));
            world.network(random.nextInt(3) * 0.1, random.nextInt(2) * 0.1, 5 + random.nextInt(100));
        }

        void step() {
            fault();
            if (random.nextInt(3) == 0) {
                clients.attemptEverywhere(clients.mint());
            }
            clients.repeat().ifPresent(clients::attemptEverywhere);
            world.run(STEP_MILLIS);
            listVms();
        }

        private void fault() {
            SimulatedNode node = world.nodes.get(random.nextInt(world.nodes.size()));
            switch (random.nextInt(300)) {
                case 0, 1, 2, 3, 4 -> node.pause(world.real() + random.nextLong(8_000_000_000L));
                case 5, 6, 7 -> restart(node);
                case 8, 9, 10 -> partition();
                case 11, 12, 13, 14 -> world.heal();
                case 15, 16 -> changeRoster();
                case 17 -> drain(node);
                case 18, 19, 20, 21, 22, 23, 24, 25 -> world.read(node, published.getLast());
                default -> {}
            }
        }

        private void restart(SimulatedNode node) {
            if (!node.up()) {
                return;
            }
            node.stop();
            ServiceConfiguration document = random.nextBoolean() ? published.getLast() : node.document();
            world.after(random.nextInt(2_000), () -> {
                if (roster.contains(node)) {
                    world.start(node, document);
                }
            });
        }

        private void partition() {
            List<SimulatedNode> side =
                    world.nodes.stream().filter(node -> random.nextBoolean()).toList();
            for (SimulatedNode one : side) {
                world.nodes.stream().filter(other -> !side.contains(other)).forEach(other -> world.cut(one, other));
            }
        }

        private void changeRoster() {
            List<String> absent = NAMES.stream()
                    .filter(name -> roster.stream()
                            .noneMatch(node -> node.member.node().value().equals(name)))
                    .toList();
            boolean remove = random.nextBoolean() && roster.size() > 1;
            if (remove || absent.isEmpty()) {
                leave(roster.remove(random.nextInt(roster.size())));
            }
            if (!remove && !absent.isEmpty()) {
                roster.add(world.vm(absent.get(random.nextInt(absent.size())), ++generation));
                SimulatedNode added = roster.getLast();
                publish();
                world.start(added, published.getLast());
            } else {
                publish();
            }
        }

        /** The platform ends the VM some time after it left the roster; until then its process goes on. */
        private void leave(SimulatedNode node) {
            world.after(random.nextInt(10_000), node::stop);
        }

        private void drain(SimulatedNode node) {
            world.at(node, () -> {
                node.drain();
                world.effects(node, node.holder().handover(node.now(world.real())));
            });
        }

        private void publish() {
            published.add(OwnershipWorld.configuration(published.size() + 1L, roster));
            for (SimulatedNode node : world.nodes) {
                if (random.nextInt(4) > 0) {
                    ServiceConfiguration document = published.getLast();
                    world.after(random.nextInt(5_000), () -> world.read(node, document));
                }
            }
        }

        /** Shows the VMs as they were some time ago. */
        private void listVms() {
            List<SimulatedNode> listed = world.nodes.stream()
                    .filter(node -> node.up() || roster.contains(node))
                    .toList();
            List<SimulatedNode> readers = List.copyOf(world.nodes);
            world.after(
                    random.nextInt((int) OwnershipWorld.LEASE.vmListLag().toMillis()),
                    () -> readers.forEach(node -> world.listVms(node, listed)));
        }

        void calmDown() {
            world.heal();
            world.network(0, 0, 5);
            world.run(8_000);
            for (SimulatedNode node : roster) {
                if (!node.up() || node.drained()) {
                    world.start(node, published.getLast());
                }
                world.read(node, published.getLast());
            }
            for (int i = 0; i < CALM_MILLIS / STEP_MILLIS; i++) {
                world.run(STEP_MILLIS);
                listVms();
            }
        }

        boolean allHold() {
            return roster.stream().allMatch(node -> node.holder().held(node.now(world.real())));
        }
    }
}
