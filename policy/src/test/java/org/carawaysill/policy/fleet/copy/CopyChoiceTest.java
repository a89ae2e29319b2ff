package org.carawaysill.policy.fleet.copy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.carawaysill.model.fleet.CopyName;
import org.carawaysill.model.fleet.CopyRecord;
import org.carawaysill.model.fleet.Revision;
import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NetworkAddress;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.fleet.placing.Placing;
import org.carawaysill.policy.message.PeerMessage.LoadReport;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CopyChoiceTest {

    private static final int SLOTS = 20;
    private static final ServiceName DEEP = new ServiceName("deep");

    private final List<Copy> copies = new ArrayList<>();
    private final CopyChoice choice =
            new CopyChoice(new NodeName("10.0.0.9"), new AvailabilityZone("near"), Set.of(), new SplittableRandom(3));

    private void add(String name, String zone, int inFlight, double workSeconds) {
        CopyRecord record = new CopyRecord(
                new CopyName(name),
                0,
                0,
                DEEP,
                new NetworkAddress("10.0.0." + copies.size(), 80),
                new AvailabilityZone(zone),
                SLOTS,
                false,
                Duration.ZERO);
        Copy copy = new Copy(record, 0, new Revision(0, copies.size()));
        copy.receiveLoad(0, new LoadReport(inFlight, SLOTS, 0, 0));
        copy.receiveWorkSeconds(workSeconds);
        copies.add(copy);
    }

    private static void fail(Copy copy) {
        for (int i = 0; i < 20; i++) {
            copy.sent();
            copy.ended(1, false);
        }
    }

    private String chosen(double answerBytes) {
        return chosen(1, answerBytes);
    }

    private String chosen(long now, double answerBytes) {
        return choice.choose(now, Placing.LeastLoad.INSTANCE, copies, Set.of(), false, answerBytes, _ -> true)
                .orElseThrow()
                .record()
                .copy()
                .value();
    }

    @Nested
    class Speed {

        @Test
        void countsWhileThereIsRoom() {
            add("slow", "near", 4, 0.1);
            add("fast", "far", 4, 0.03);
            assertEquals("fast", chosen(0));
        }

        /** Near saturation all slots are needed, also those of slow copies. */
        @Test
        void countsForNothingWhereAllSlotsAreTaken() {
            add("slow", "far", 19, 0.1);
            add("fast", "far", 30, 0.03);
            assertEquals("slow", chosen(0));
        }

        @Test
        void countsForNothingWhereItIsNotKnown() {
            add("unknown", "near", 4, 0);
            add("known", "far", 4, 0.05);
            assertEquals("unknown", chosen(0));
        }
    }

    @Nested
    class Failures {

        /** A copy that fails at once is idle, so its low load is no advantage. */
        @Test
        void outweighIdleness() {
            add("failing", "near", 0, 0.05);
            add("sound", "far", 18, 0.05);
            fail(copies.getFirst());
            assertEquals("sound", chosen(0));
        }

        /** If all copies fail alike, as when a service that they call is down, none is penalised. */
        @Test
        void countInComparison() {
            add("near", "near", 4, 0.05);
            add("far", "far", 4, 0.05);
            copies.forEach(CopyChoiceTest::fail);
            assertEquals("near", chosen(0));
        }

        @Test
        void areForgivenWithTime() {
            add("failing", "near", 0, 0.05);
            add("sound", "far", 4, 0.05);
            fail(copies.getFirst());
            assertEquals("failing", chosen(Duration.ofSeconds(5).toNanos(), 0));
        }
    }

    @Nested
    class Nearness {

        @Test
        void countsMoreForLargeAnswers() {
            add("slow", "near", 4, 0.1);
            add("fast", "far", 4, 0.03);
            assertEquals("slow", chosen(5000));
        }

        /** A large answer must not queue at a near copy while a far one has free slots. */
        @Test
        void countsLittleWhereTheNearCopyIsFull() {
            add("near", "near", 40, 0.05);
            add("far", "far", 17, 0.05);
            assertEquals("far", chosen(5000));
        }
    }
}
