package org.carawaysill.load.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.carawaysill.load.site.SiteCopy;
import org.carawaysill.model.configuration.ServiceConfigurationParser;
import org.carawaysill.model.document.ParseResult;
import org.carawaysill.model.identity.ServiceName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class FleetPlanTest {

    private static List<Integer> sizes(FleetPlan plan) {
        return plan.services().stream().map(service -> service.copies().size()).toList();
    }

    @Nested
    class Services {

        @Test
        void sharesTheNodesOutEvenly() {
            assertEquals(List.of(17, 17, 16), sizes(FleetPlan.of(50, 23)));
        }

        @Test
        void callsTheNextTwoInTheRing() {
            FleetService last = FleetPlan.of(16, 4).services().getLast();
            assertEquals(List.of(new ServiceName("service-1"), new ServiceName("service-2")), last.calls());
        }

        @Test
        void neverCallsItself() {
            assertEquals(List.of(), FleetPlan.of(4, 23).services().getFirst().calls());
            assertEquals(
                    List.of(new ServiceName("service-2")),
                    FleetPlan.of(8, 4).services().getFirst().calls());
        }

        @Test
        void refusesMoreNodesThanAMachineShouldRun() {
            assertThrows(IllegalArgumentException.class, () -> FleetPlan.of(FleetPlan.MAXIMUM_NODES + 1, 23));
        }
    }

    @Nested
    class Relations {

        @Test
        void letsCallersFollowADocument() {
            FleetPlan plan = FleetPlan.of(48, 4);
            FleetService first = plan.services().getFirst();
            assertEquals(12, plan.followers(first).size());
        }
    }

    @Nested
    class Written {

        @TempDir
        private Path directory;

        @Test
        void listsAProcessForEachNodeAfterThePlatform() throws IOException {
            FleetPlan plan = FleetPlan.of(5, 2);
            List<String> lines = Files.readAllLines(FleetFiles.write(plan, directory));
            assertEquals(
                    List.of(
                            "configuration",
                            "vm-list",
                            "service-1-1",
                            "service-1-2",
                            "service-2-1",
                            "service-2-2",
                            "service-3-1"),
                    lines.stream().map(line -> line.split("\t")[0]).toList());
            for (SiteCopy copy : plan.copies()) {
                assertTrue(
                        Files.exists(directory.resolve(copy.name() + ".toml")),
                        copy.name().value());
            }
        }

        @Test
        void isAConfigurationThatNodesAccept() {
            for (FleetService service : FleetPlan.of(12, 4).services()) {
                assertInstanceOf(ParseResult.Valid.class, ServiceConfigurationParser.parse(service.document(7), 7));
            }
        }
    }
}
