package org.carawaysill.policy.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Set;
import org.carawaysill.model.fleet.CopyName;
import org.carawaysill.model.fleet.CopyRecord;
import org.carawaysill.model.fleet.Revision;
import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NetworkAddress;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.fleet.copy.CopyTable;
import org.junit.jupiter.api.Test;

class LapsedNodesTest {

    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private final CopyTable copies = new CopyTable();
    private final LapsedNodes lapsed = new LapsedNodes();

    private void publishAndRemove(String host, boolean draining) {
        copies.setConfiguredServices(Set.of(new ServiceName("front")));
        CopyRecord record = new CopyRecord(
                new CopyName(host),
                0,
                0,
                new ServiceName("front"),
                new NetworkAddress(host, 80),
                new AvailabilityZone("zone"),
                10,
                draining,
                Duration.ZERO);
        copies.put(0, host, record, new Revision(0, 1));
        copies.remove(0, host, 0).ifPresent(copy -> lapsed.add(0, copy));
    }

    /** Guards against the two sides of a partition that each consider the other's nodes gone. */
    @Test
    void countForATimeWithThePublishedOnes() {
        publishAndRemove("10.0.0.1", false);
        assertEquals(3, lapsed.countWith(SECOND, Set.of("10.0.0.2", "10.0.0.3")));
        assertEquals(2, lapsed.countWith(SECOND, Set.of("10.0.0.1", "10.0.0.3")));
        assertEquals(2, lapsed.countWith(60 * SECOND, Set.of("10.0.0.2", "10.0.0.3")));
    }

    @Test
    void thatLeftAsPlannedDoNotCount() {
        publishAndRemove("10.0.0.1", true);
        assertEquals(1, lapsed.countWith(SECOND, Set.of("10.0.0.2")));
    }
}
