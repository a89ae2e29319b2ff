package org.carawaysill.policy.fleet.copy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.carawaysill.model.fleet.CopyName;
import org.carawaysill.model.fleet.CopyRecord;
import org.carawaysill.model.fleet.Revision;
import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NetworkAddress;
import org.carawaysill.model.identity.ServiceName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CopyTableTest {

    private static final ServiceName DEEP = new ServiceName("deep");
    private static final ServiceName OTHER = new ServiceName("other");

    private final CopyTable table = new CopyTable();

    private static CopyRecord record(String name, ServiceName service, String host, boolean draining) {
        return record(name, 0, service, host, draining);
    }

    private static CopyRecord record(String name, long startedAt, ServiceName service, String host, boolean draining) {
        return new CopyRecord(
                new CopyName(name),
                startedAt,
                0,
                service,
                new NetworkAddress(host, 80),
                new AvailabilityZone("zone"),
                4,
                draining,
                Duration.ZERO);
    }

    private Optional<Copy> put(long now, String key, CopyRecord record, long revision) {
        return table.put(now, key, record, new Revision(0, revision));
    }

    private List<String> usable(ServiceName service) {
        return table.usable(service).stream()
                .map(copy -> copy.record().copy().value())
                .sorted()
                .toList();
    }

    @Nested
    class Leaving {

        @Test
        void copyGetsNoWorkOnceItDrains() {
            put(0, "a", record("a", DEEP, "10.0.0.1", false), 0);
            put(1, "a", record("a", DEEP, "10.0.0.1", true), 1);
            assertEquals(List.of(), usable(DEEP));
        }

        /*
         * While the platform's store is down, a running copy cannot send its heartbeats: its entry is missing when the
         * store returns and reappears two seconds later. Taking the copy as gone at once would move its share of the
         * load onto the others for that time.
         */
        @Test
        void copyWhoseEntryMayComeBackStaysInUseUntilThen() {
            put(0, "a", record("a", DEEP, "10.0.0.1", false), 0);
            assertTrue(table.remove(10, "a", 20).isEmpty());
            assertEquals(List.of("a"), usable(DEEP));
            assertEquals(Set.of("a"), table.dropMissing(20).keySet());
            assertEquals(List.of(), usable(DEEP));
        }

        @Test
        void copyWhoseEntryIsBackStays() {
            put(0, "a", record("a", DEEP, "10.0.0.1", false), 0);
            table.remove(10, "a", 20);
            put(15, "a", record("a", DEEP, "10.0.0.1", false), 15);
            assertEquals(Map.of(), table.dropMissing(30));
            assertEquals(List.of("a"), usable(DEEP));
        }
    }

    @Nested
    class Starts {

        /*
         * A copy loses power while it drains, and starts again under its name before its entry has expired. It must not
         * be taken for the same process, with the failures and the load of the dead one.
         */
        @Test
        void underTheSameNameMakeAnotherCopy() {
            Copy before =
                    put(0, "a", record("a", 100, DEEP, "10.0.0.1", true), 0).orElseThrow();
            before.sent();
            before.ended(0, false);
            Copy after =
                    put(5, "a", record("a", 200, DEEP, "10.0.0.1", false), 5).orElseThrow();
            assertNotSame(before, after);
            assertEquals(0.25, after.expectedLoad(5, Set.of()), 0.001);
            assertEquals(List.of("a"), usable(DEEP));
        }

        /*
         * The last heartbeat of a copy's earlier process is written after the first one of its new process, and says
         * that the copy drains.
         */
        @Test
        void beforeTheKnownOneChangeNothing() {
            put(0, "a", record("a", 200, DEEP, "10.0.0.1", false), 0);
            assertTrue(put(5, "a", record("a", 100, DEEP, "10.0.0.1", true), 5).isEmpty());
            assertEquals(List.of("a"), usable(DEEP));
        }
    }

    @Nested
    class Services {

        /*
         * Another program publishes an entry of an unknown service with the address of a running copy. It must not keep
         * that copy from receiving requests, nor must its slots be applied to that copy.
         */
        @Test
        void thatAreNotNamedHaveNoCopies() {
            put(0, "a", record("a", DEEP, "10.0.0.1", false), 0);
            put(5, "b", record("b", OTHER, "10.0.0.1", false), 5);
            table.setConfiguredServices(Set.of(DEEP));
            assertEquals(List.of("a"), usable(DEEP));
            assertEquals(List.of(), usable(OTHER));
            assertEquals(
                    "a",
                    table.at(new NetworkAddress("10.0.0.1", 80))
                            .orElseThrow()
                            .record()
                            .copy()
                            .value());
        }

        @Test
        void thatAreNamedLaterHaveTheirCopiesThen() {
            table.setConfiguredServices(Set.of(DEEP));
            put(5, "b", record("b", OTHER, "10.0.0.2", false), 5);
            table.setConfiguredServices(Set.of(DEEP, OTHER));
            assertEquals(List.of("b"), usable(OTHER));
        }
    }

    @Nested
    class Addresses {

        /*
         * A copy crashes, and its address is given to a copy of another service before its own entry has expired.
         * Requests for the old service must not reach the new copy.
         */
        @Test
        void belongToTheNewestCopy() {
            put(0, "old", record("old", DEEP, "10.0.0.1", false), 0);
            put(5, "new", record("new", OTHER, "10.0.0.1", false), 5);
            assertEquals(List.of(), usable(DEEP));
            assertEquals(List.of("new"), usable(OTHER));
        }

        /*
         * All VMs lose power; nodes and copies start again under new names, and a node reads the entries of the dead
         * and of the running copies at the same moment. If it chose by the order of a hash table, most requests would
         * be answered 421 until the dead ones' entries expire.
         */
        @Test
        void belongToTheCopyWrittenLastWhereBothAreReadAtOnce() {
            for (int i = 0; i < 20; i++) {
                put(0, "old" + i, record("old" + i, DEEP, "10.0.0." + i, false), i);
                put(0, "new" + i, record("new" + i, DEEP, "10.0.0." + i, false), 100 + i);
            }
            assertEquals(20, usable(DEEP).size());
            assertTrue(usable(DEEP).stream().allMatch(name -> name.startsWith("new")));
        }
    }
}
