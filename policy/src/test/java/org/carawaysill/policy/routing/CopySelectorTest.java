package org.carawaysill.policy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.carawaysill.model.configuration.CopyEntry;
import org.carawaysill.model.configuration.ServiceConfiguration;
import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Importance;
import org.carawaysill.model.request.Priority;
import org.carawaysill.model.request.RequestTerms;
import org.carawaysill.policy.message.PeerMessage.LoadReport;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CopySelectorTest {

    private static final ServiceName SERVICE = new ServiceName("manifests");
    private static final AvailabilityZone OWN_ZONE = new AvailabilityZone("zone-0");
    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final long WARM = 60 * SECOND;
    private static final Priority LOW = new Priority(10);
    private static final LoadReport IDLE = new LoadReport(0, 10, 0, 0);
    private static final NodeName NEAR = node(0);
    private static final NodeName FAR = node(1);

    private CopySelector selector;

    @BeforeEach
    void threeUsableCopiesInThreeZones() {
        selector = selector("caller-1");
        selector.updateRoster(0, roster(3, 3));
        IntStream.range(0, 3).forEach(i -> selector.setUsable(0, node(i), true));
    }

    private static CopySelector selector(String name) {
        return new CopySelector(new NodeName(name), OWN_ZONE, new SplittableRandom(1), RoutingSettings.DEFAULT);
    }

    private static NodeName node(int index) {
        return new NodeName("manifests-" + index);
    }

    private static ServiceConfiguration roster(int copies, int zones) {
        List<CopyEntry> entries = IntStream.range(0, copies)
                .mapToObj(
                        i -> new CopyEntry(node(i), new AvailabilityZone("zone-" + i % zones), "127.0.0.1", 1, 10, 100))
                .toList();
        RequestTerms terms = new RequestTerms(Importance.ORDINARY, true, 0, Duration.ofSeconds(1));
        return ServiceConfiguration.builder(SERVICE, 1, entries).defaults(terms).build();
    }

    private Map<NodeName, Integer> choices(long now, int count) {
        Map<NodeName, Integer> choices = new HashMap<>();
        for (int i = 0; i < count; i++) {
            selector.choose(now, SERVICE, Set.of(), LOW).ifPresent(node -> choices.merge(node, 1, Integer::sum));
        }
        return choices;
    }

    @Nested
    class Usability {

        @Test
        void aLeavingOrUnreachableCopyIsNeverChosen() {
            selector.setUsable(WARM, NEAR, false);

            assertFalse(choices(WARM, 200).containsKey(NEAR));
        }

        @Test
        void withoutAUsableCopyNothingIsChosen() {
            IntStream.range(0, 3).forEach(i -> selector.setUsable(WARM, node(i), false));

            assertEquals(Optional.empty(), selector.choose(WARM, SERVICE, Set.of(), LOW));
            assertEquals(Optional.empty(), selector.choose(WARM, new ServiceName("other"), Set.of(), LOW));
        }

        // Guards against overload of a cold copy: a copy was replaced. Each of many callers sees it as idle and sends
        // work to it at once; it answers late, and the requests are lost. A cold copy must get a share that rises.
        @Test
        void aCopyThatComesBackGetsAShareThatRises() {
            selector.setUsable(WARM, NEAR, false);
            selector.setUsable(WARM + 10 * SECOND, NEAR, true);

            int cold = choices(WARM + 10 * SECOND, 1_000).get(NEAR);
            int halfWarm = choices(WARM + 12 * SECOND, 1_000).get(NEAR);
            int warm = choices(WARM + 20 * SECOND, 1_000).get(NEAR);

            assertTrue(cold < 200 && cold < halfWarm && halfWarm < warm && warm == 1_000);
        }

        @Test
        void aShortFalseSuspicionLeavesItWarm() {
            selector.setUsable(WARM, NEAR, false);
            selector.setUsable(WARM + SECOND, NEAR, true);

            assertEquals(Map.of(NEAR, 100), choices(WARM + SECOND, 100));
        }
    }

    @Nested
    class Failures {

        // Guards against too long a backoff: the connection to a copy is lost with 50 requests in flight. The copy must
        // be avoided, since each further request would fail too, but counting all 50 failures would lead to the longest
        // backoff.
        @Test
        void aCopyThatFailedIsAvoidedForABackoffThatCountsOneFailure() {
            for (int i = 0; i < 50; i++) {
                selector.sent(WARM, NEAR);
            }
            for (int i = 0; i < 50; i++) {
                selector.failed(WARM, NEAR);
            }

            assertFalse(choices(WARM + SECOND / 10, 100).containsKey(NEAR));
            assertEquals(Map.of(NEAR, 100), choices(WARM + SECOND / 2, 100));
        }

        @Test
        void oneRequestTriesItAgainBeforeOthersFollow() {
            selector.sent(WARM, NEAR);
            selector.failed(WARM, NEAR);
            selector.sent(WARM + SECOND, NEAR);

            assertFalse(choices(WARM + SECOND, 100).containsKey(NEAR));
        }

        @Test
        void ofCopiesThatAllFailedSomeIsStillChosen() {
            IntStream.range(0, 3).forEach(i -> selector.failed(WARM, node(i)));

            assertEquals(
                    100,
                    choices(WARM, 100).values().stream()
                            .mapToInt(Integer::intValue)
                            .sum());
        }
    }

    @Nested
    class Load {

        @Test
        void theOwnZoneIsPreferredWhileItHasFreeSlots() {
            for (int i = 0; i < 9; i++) {
                assertEquals(Map.of(NEAR, 1), choices(WARM, 1));
                selector.sent(WARM, NEAR);
            }
        }

        @Test
        void anotherZoneIsChosenWhenTheQueueCostsMoreThanTheNetwork() {
            selector.loadReported(WARM, NEAR, new LoadReport(10, 10, 20, 0));
            selector.loadReported(WARM, FAR, IDLE);
            selector.loadReported(WARM, node(2), IDLE);

            assertFalse(choices(WARM, 100).containsKey(NEAR));
        }

        @Test
        void aCopyThatAdmitsThePriorityIsPreferred() {
            selector.loadReported(WARM, NEAR, new LoadReport(0, 10, 0, LOW.level() + 1));

            assertFalse(choices(WARM, 100).containsKey(NEAR));
            assertEquals(Optional.of(NEAR), selector.choose(WARM, SERVICE, Set.of(), new Priority(LOW.level() + 1)));
        }

        @Test
        void outstandingRequestsCountUntilTheyAreAnsweredOrWithdrawn() {
            for (int i = 0; i < 30; i++) {
                selector.sent(WARM, NEAR);
            }
            assertFalse(choices(WARM, 50).containsKey(NEAR));

            for (int i = 0; i < 15; i++) {
                selector.cancelled(WARM, NEAR);
                selector.answered(WARM, NEAR, IDLE, SECOND / 100);
            }
            assertEquals(Map.of(NEAR, 50), choices(WARM, 50));
        }
    }

    @Nested
    class Subset {

        @Test
        void isBoundedAndSpansTheZones() {
            selector.updateRoster(WARM, roster(60, 3));

            Map<AvailabilityZone, Integer> zones = new HashMap<>();
            selector.selectedCopies().forEach(copy -> zones.merge(copy.zone(), 1, Integer::sum));
            assertEquals(8, selector.selectedCopies().size());
            assertTrue(zones.size() == 3 && zones.values().stream().allMatch(count -> count >= 2));
        }

        @Test
        void changesInOnePlaceWhenACopyGoes() {
            selector.updateRoster(WARM, roster(24, 3));
            List<CopyEntry> before = selector.selectedCopies();
            selector.updateRoster(WARM, roster(23, 3));

            assertTrue(selector.selectedCopies().stream()
                            .filter(copy -> !before.contains(copy))
                            .count()
                    <= 1);
        }

        @Test
        void ofTheOwnServiceIsTheWholeRoster() {
            CopySelector own = selector("manifests-7");
            own.updateRoster(WARM, roster(24, 3));

            assertEquals(24, own.selectedCopies().size());
        }

        @Test
        void spreadsCallersOverCopies() {
            Map<NodeName, Integer> callers = new HashMap<>();
            for (int i = 0; i < 300; i++) {
                CopySelector caller = selector("caller-" + i);
                caller.updateRoster(0, roster(24, 3));
                caller.selectedCopies().forEach(copy -> callers.merge(copy.node(), 1, Integer::sum));
            }

            int mean = 300 * 8 / 24;
            assertEquals(24, callers.size());
            assertTrue(callers.values().stream().allMatch(count -> count > mean * 0.75 && count < mean * 1.25));
        }
    }
}
