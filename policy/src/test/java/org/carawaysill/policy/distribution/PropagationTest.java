package org.carawaysill.policy.distribution;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.LongStream;
import org.approvaltests.Approvals;
import org.carawaysill.model.configuration.ServiceConfiguration;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.junit.jupiter.api.Test;

/**
 * Measures the time from a publication until it is in force on all of 24 nodes that are not paused: a called service of
 * 8 nodes and two services that call it, in virtual time.
 */
class PropagationTest {

    private static final ServiceName DEEP = new ServiceName("manifests");
    private static final Duration LIMIT = Duration.ofSeconds(5);
    private static final Duration RECOVERY = Duration.ofSeconds(20);

    private final VirtualFleet fleet = new VirtualFleet(3);
    private final List<String> rows = new ArrayList<>();

    @Test
    void figuresOfTheDecisionRecord() {
        fleet.add(DEEP, List.of(), 8);
        fleet.add(new ServiceName("parties"), List.of(DEEP.value()), 8);
        fleet.add(new ServiceName("tracker"), List.of(DEEP.value(), "parties"), 8);
        fleet.startAll();
        fleet.runFor(RECOVERY);

        rows.add("trouble                                publications  median ms  worst ms");
        measure("none", 100, this::publish);
        measure("one of two readers paused", 20, () -> pauseReaders(1));
        measure("both readers paused", 20, () -> pauseReaders(2));
        measure("fleet cut in two at that moment", 20, this::cutInTwo);
        measure("platform comes back after 30 s", 20, this::platformComesBack);
        Approvals.verify(String.join("\n", rows));
    }

    private void measure(String name, int publications, Runnable trouble) {
        long[] times = LongStream.range(0, publications)
                .map(_ -> millisUntilInForce(trouble))
                .sorted()
                .toArray();
        long worst = times[times.length - 1];
        rows.add(String.format(
                Locale.ROOT, "%-37s  %12d  %9d  %8d", name, publications, times[times.length / 2], worst));
        assertTrue(worst < LIMIT.toMillis(), () -> name + ": " + worst + " ms");
    }

    private long millisUntilInForce(Runnable trouble) {
        fleet.runFor(Duration.ofMillis(1_337));
        trouble.run();
        long millis = 0;
        while (!inForceEverywhere() && millis < 2 * LIMIT.toMillis()) {
            fleet.runFor(Duration.ofMillis(1));
            millis++;
        }
        fleet.setPartition(Set.of());
        fleet.names().forEach(name -> fleet.pause(name, Duration.ZERO));
        fleet.runFor(RECOVERY);
        return millis;
    }

    private boolean inForceEverywhere() {
        return fleet.running.values().stream()
                .filter(node -> !fleet.isPaused(node.name))
                .allMatch(
                        node -> node.distribution.versions().getOrDefault(DEEP, 0L) == fleet.platform.lastValid(DEEP));
    }

    private void publish() {
        fleet.platform.publish(DEEP, fleet.platform.text(DEEP) + "\nnote " + fleet.nowNanos(), 1);
    }

    /** A paused process keeps its connections and its rank in the election until its silence is noticed. */
    private void pauseReaders(int count) {
        ServiceConfiguration roster = fleet.running.values().stream()
                .flatMap(node -> node.distribution.newest(DEEP).stream())
                .findFirst()
                .orElseThrow();
        List<NodeName> nodes = roster.copies().stream().map(copy -> copy.node()).toList();
        ReaderElection.elect(DEEP, roster, nodes, 2).stream()
                .sorted()
                .limit(count)
                .forEach(reader -> fleet.pause(reader, Duration.ofSeconds(60)));
        publish();
    }

    private void cutInTwo() {
        Set<NodeName> half = new HashSet<>();
        for (int i = 0; i < fleet.names().size(); i += 2) {
            half.add(fleet.names().get(i));
        }
        fleet.setPartition(half);
        publish();
    }

    private void platformComesBack() {
        fleet.platform.mode(VirtualPlatform.Mode.DOWN);
        fleet.runFor(Duration.ofSeconds(30));
        publish();
        fleet.platform.mode(VirtualPlatform.Mode.UP);
    }
}
