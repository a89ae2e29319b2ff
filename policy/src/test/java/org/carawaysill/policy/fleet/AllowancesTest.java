package org.carawaysill.policy.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import org.carawaysill.model.fleet.Allowance;
import org.carawaysill.model.fleet.Organisation;
import org.carawaysill.model.fleet.Organisations;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.policy.fleet.VirtualFleet.VirtualNode;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AllowancesTest {

    private static final long MILLI = VirtualFleet.MILLI;
    private static final long SECOND = 1000 * MILLI;
    private static final long BEGIN = 8 * SECOND;
    private static final String PATH = "/entry/";
    private static final int PER_SECOND = 20;

    /** The rate times five seconds plus the burst, with the tolerance of a quarter, plus the slack. */
    private static final int MOST_IN_A_WINDOW = (int) (6 * PER_SECOND * 1.25 + 20);

    private final VirtualFleet fleet = new VirtualFleet(5);
    private final List<VirtualNode> nodes = new ArrayList<>();
    private final List<Outcome> outcomes = new ArrayList<>();
    private final List<Outcome> othersOutcomes = new ArrayList<>();

    private static Organisation organisation(String name, int perSecond) {
        return TestKeys.organisation(name, 1, Optional.of(new Allowance(perSecond, perSecond)), name);
    }

    private void configure(int perSecond) {
        fleet.organisations = Optional.of(
                new Organisations(List.of(organisation("hot", perSecond), organisation("calm", PER_SECOND))));
        fleet.configure(Routes.route(PATH, "front", true, 1, 900, 500));
    }

    @BeforeEach
    void settle() {
        configure(PER_SECOND);
        for (int i = 0; i < 9; i++) {
            VirtualNode node = fleet.add("front", "10." + i % 3 + ".0." + (i + 1), "zone-" + i % 3, 20);
            node.works.put(PATH, new Work(10 * MILLI, List.of()));
            nodes.add(node);
        }
        fleet.runUntil(BEGIN);
    }

    /** Sends requests at a steady rate to the nodes in turn. */
    private void send(String organisation, int perSecond, int seconds, List<Outcome> to) {
        for (int i = 0; i < perSecond * seconds; i++) {
            VirtualNode entry = nodes.get(i % nodes.size());
            String name = organisation + i;
            fleet.at(
                    fleet.now + i * SECOND / perSecond,
                    () -> fleet.send(
                            entry, name, PATH, TestKeys.key(organisation), SECOND, (_, outcome) -> to.add(outcome)));
        }
    }

    private static List<Duration> waits(List<Outcome> outcomes) {
        return outcomes.stream()
                .filter(outcome ->
                        outcome instanceof Outcome.NotRun notRun && notRun.reason() == RefusalReason.OVER_ALLOWANCE)
                .map(outcome -> ((Outcome.NotRun) outcome).retryAfter())
                .toList();
    }

    @Nested
    class OfAHotOrganisation {

        @Test
        void boundWhatItRunsAndNotWhatOthersDo() {
            send("hot", 150, 15, outcomes);
            send("calm", 12, 15, othersOutcomes);
            fleet.runUntil(BEGIN + 17 * SECOND);
            int most = RunsInWindows.most(fleet, "hot", 5 * SECOND);
            assertTrue(most <= MOST_IN_A_WINDOW, () -> most + " in a window");
            assertTrue(most >= 5 * PER_SECOND, () -> most + " in a window");
            assertEquals(
                    othersOutcomes.size(),
                    othersOutcomes.stream().filter(Outcomes::isGood).count());
        }

        /** Guards against callers that all retry at the same moment. */
        @Test
        void spreadWhenItsCallersComeBack() {
            send("hot", 150, 5, outcomes);
            fleet.runUntil(BEGIN + 6 * SECOND);
            List<Duration> waits = waits(outcomes);
            assertTrue(waits.size() > 100, () -> "refused " + waits.size());
            assertTrue(new HashSet<>(waits).size() > waits.size() / 2, "the same time for many");
        }

        @Test
        void bindAWindowAfterTheyWereLowered() {
            send("hot", 18, 20, outcomes);
            fleet.runUntil(BEGIN + 6 * SECOND);
            configure(2);
            fleet.runUntil(BEGIN + 13 * SECOND);
            fleet.runs.clear();
            fleet.runUntil(BEGIN + 21 * SECOND);
            int most = RunsInWindows.most(fleet, "hot", 5 * SECOND);
            assertTrue(most <= 6 * 2 * 1.25 + 20, () -> most + " in a window");
        }
    }

    @Nested
    class OfRequestsThatNoCopyRan {

        @Test
        void areNotUsedUp() {
            nodes.forEach(node -> node.shed = 1);
            send("calm", 18, 6, outcomes);
            fleet.runUntil(BEGIN + 7 * SECOND);
            nodes.forEach(node -> node.shed = 0);
            outcomes.clear();
            send("calm", 18, 4, outcomes);
            fleet.runUntil(BEGIN + 12 * SECOND);
            assertEquals(List.of(), waits(outcomes));
        }
    }

    @Nested
    class OfAFleetThatIsCutInTwo {

        @Test
        void holdOnBothSidesTogether() {
            send("hot", 150, 20, outcomes);
            fleet.at(BEGIN + 5 * SECOND, () -> {
                for (VirtualNode one : nodes.subList(0, 3)) {
                    nodes.subList(3, 9).forEach(other -> fleet.silence(one, other));
                }
            });
            fleet.runUntil(BEGIN + 22 * SECOND);
            int most = RunsInWindows.most(fleet, "hot", 5 * SECOND);
            assertTrue(most <= MOST_IN_A_WINDOW, () -> most + " in a window");
        }
    }
}
