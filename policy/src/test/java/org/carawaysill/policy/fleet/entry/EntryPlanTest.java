package org.carawaysill.policy.fleet.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.carawaysill.model.fleet.Destination;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.message.PeerMessage.LoadReport;
import org.carawaysill.policy.message.PeerMessage.NodeReport;
import org.carawaysill.policy.message.PeerMessage.RouteDemand;
import org.carawaysill.policy.message.PeerMessage.SlotTime;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EntryPlanTest {

    private static final ServiceName DEEP = new ServiceName("deep");
    private static final String LOOKUP = "lookup";
    private static final int SLOTS = 10;

    private final EntryPlan plan = new EntryPlan(Set.of());

    private void report(float offered, float completed) {
        NodeReport report = new NodeReport(
                1,
                1,
                true,
                false,
                DEEP,
                new LoadReport(SLOTS, SLOTS, 0, 0),
                List.of(new RouteDemand(LOOKUP, offered, completed)),
                plan.ownCosts());
        Route route = new Route(
                LOOKUP,
                "fleet.example",
                "/",
                List.of(new Destination(DEEP, 1)),
                true,
                Duration.ofSeconds(1),
                2,
                Duration.ofSeconds(1),
                2);
        plan.update(List.of(report), Map.of(DEEP, new ServiceLoad(SLOTS, SLOTS, 0)), Map.of(LOOKUP, route));
    }

    private static List<SlotTime> took(float seconds) {
        return List.of(new SlotTime(DEEP, seconds));
    }

    @Nested
    class UnknownCosts {

        /*
         * All nodes have just started and know no costs, and many more lookups come than fit. All are let in, the deep
         * service's queues fill, each lookup loses one of its calls, and none gets through whole. Were costs learned from
         * whole requests only, the entry would let all of them in for as long as that lasts (two seconds were seen).
         */
        @Test
        void areLearnedFromRequestsThatFail() {
            plan.learnLeast(LOOKUP, took(0.1f));
            report(300, 0);
            // Nine tenths of the slots do 90 lookups a second.
            assertEquals(0.3, plan.share(LOOKUP), 0.07);
        }
    }

    @Nested
    class KnownCosts {

        @Test
        void areNotLoweredByRequestsThatFailEarly() {
            plan.learn(LOOKUP, took(0.1f));
            for (int i = 0; i < 1000; i++) {
                plan.learnLeast(LOOKUP, took(0.01f));
            }
            report(300, 0);
            assertTrue(plan.share(LOOKUP) < 0.4, () -> "share " + plan.share(LOOKUP));
        }

        @Test
        void followWholeRequests() {
            plan.learnLeast(LOOKUP, took(1f));
            for (int i = 0; i < 200; i++) {
                plan.learn(LOOKUP, took(0.01f));
            }
            report(300, 300);
            assertEquals(1, plan.share(LOOKUP), 0.001);
        }
    }
}
