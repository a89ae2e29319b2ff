package org.carawaysill.policy.distribution;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import org.approvaltests.Approvals;
import org.carawaysill.model.identity.ServiceName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;

/** Measures the load of the platform and of the nodes, in virtual time with fixed seeds. */
class DistributionReadsTest {

    private static final int PLATFORM_LIMIT = 2_000;
    private static final int CALLED_SERVICES = 3;
    private static final String HEADING =
            "services  copies  nodes  most reads/s at start  reads/s when settled  messages/s per node";

    private static VirtualFleet fleet(int services, int copies) {
        VirtualFleet fleet = new VirtualFleet(1);
        for (int i = 0; i < services; i++) {
            fleet.add(service(i), called(i, services), copies);
        }
        return fleet;
    }

    private static ServiceName service(int index) {
        return new ServiceName("service" + index);
    }

    private static List<String> called(int index, int services) {
        return IntStream.rangeClosed(index + 1, index + CALLED_SERVICES)
                .filter(called -> called < services)
                .mapToObj(called -> service(called).value())
                .toList();
    }

    @Nested
    class WhenEveryNodeIsIsolated {

        // Guards against overload of the platform: after a network failure at the start, 3,500 nodes have no peer and
        // read their documents at the platform. If all did so at once, the platform would refuse reads and no node
        // would get a configuration.
        @Test
        void allTogetherStayFarBelowThePlatformsRate() {
            VirtualFleet fleet = fleet(150, 23);
            fleet.disconnectAll();

            fleet.startAll();
            fleet.runFor(Duration.ofSeconds(40));

            assertTrue(
                    fleet.platform.mostReadsInASecond() < PLATFORM_LIMIT / 2,
                    () -> "most reads in a second: " + fleet.platform.mostReadsInASecond());
        }

        // As above, while the platform is down: the nodes' retries must not overload it when it recovers.
        @Test
        void alsoWhileThePlatformIsDown() {
            VirtualFleet fleet = fleet(150, 23);
            fleet.disconnectAll();
            fleet.platform.mode(VirtualPlatform.Mode.DOWN);

            fleet.startAll();
            fleet.runFor(Duration.ofSeconds(40));

            assertTrue(fleet.platform.mostReadsInASecond() < PLATFORM_LIMIT / 2);
        }
    }

    @Test
    void readsGrowWithTheServicesAndNotWithTheirCopies() {
        List<String> rows = new ArrayList<>();
        rows.add(HEADING);
        for (int[] size : new int[][] {{4, 4}, {4, 12}, {4, 24}, {12, 4}, {36, 4}, {12, 12}}) {
            rows.add(row(size[0], size[1]));
        }
        Approvals.verify(String.join("\n", rows));
    }

    /** Prints one row for a fleet of any size. For thousands of nodes it takes minutes and some gigabytes. */
    @Test
    @EnabledIfSystemProperty(named = "fleet.services", matches = "\\d+")
    void readsOfTheFleetAskedFor() {
        System.out.println(HEADING);
        System.out.println(row(Integer.getInteger("fleet.services"), Integer.getInteger("fleet.copies")));
    }

    private static String row(int services, int copies) {
        VirtualFleet fleet = fleet(services, copies);
        fleet.startAll();
        fleet.runFor(Duration.ofSeconds(30));
        long messages = fleet.messages();
        fleet.runFor(Duration.ofSeconds(30));
        double perNode = (fleet.messages() - messages) / 30.0 / (services * copies);
        return String.format(
                Locale.ROOT,
                "%8d  %6d  %5d  %21d  %20.1f  %19.1f",
                services,
                copies,
                services * copies,
                fleet.platform.mostReadsInASecond(),
                fleet.platform.reads(30, 60) / 30.0,
                perNode);
    }
}
