package org.carawaysill.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that an operator can see which nodes are behind, wait for a version, and drain nodes. */
class FleetCommandsTest {

    private final FakeNodes nodes = new FakeNodes();
    private final AtomicReference<Map<String, Object>> first = versions(Map.of("tracker", 7, "parties", 3));
    private final AtomicReference<Map<String, Object>> second = versions(Map.of("tracker", 6, "parties", 3));
    private final String firstAdmin = nodes.start("tracker-1", first);
    private final String secondAdmin = nodes.start("tracker-2", second);

    @AfterEach
    void stop() {
        nodes.close();
    }

    @Nested
    class Status {

        /**
         * Guards against a report of success while a node is behind. An operator has published version 7 of the
         * tracker's document, and one of two nodes is disconnected and still uses version 6. The program must name the
         * node and the service, and end with a failure status.
         */
        @Test
        void namesTheNodeThatIsBehind() {
            Run run = Run.of("status", "--admin", firstAdmin, secondAdmin);

            assertEquals(ExitStatus.CHECK_FAILED, run.status());
            assertTrue(run.output().contains("tracker: version 7 in force on 1 of 2 nodes; behind: tracker-2 (6)"));
            assertTrue(run.output().contains("parties: version 3 in force on 2 of 2 nodes"));
        }

        @Test
        void succeedsWhenAllNodesHaveTheSameVersions() {
            second.set(first.get());

            assertEquals(
                    ExitStatus.DONE,
                    Run.of("status", "--admin", firstAdmin, secondAdmin).status());
        }

        @Test
        void countsANodeWithoutItsOwnDocumentAsBehind() {
            second.set(Map.of());

            Run run = Run.of("status", "--admin", firstAdmin, secondAdmin);

            assertTrue(run.output().contains("behind: tracker-2 (0)"), run::output);
        }

        @ParameterizedTest
        @ValueSource(strings = {"no JSON", "[]", "{}", "{\"node\": 3, \"versions\": {\"tracker\": \"x\"}}"})
        void showsAServerThatIsNotANodeAsSilent(String answer) {
            Run run = Run.of("status", "--admin", firstAdmin, nodes.startOtherServer(answer));

            assertEquals(ExitStatus.CHECK_FAILED, run.status());
            assertTrue(run.output().contains("silent"), run::output);
        }
    }

    @Nested
    class Until {

        @Test
        void endsWhenTheLastNodeHasTheVersion() throws InterruptedException {
            Thread publication = Thread.startVirtualThread(() -> second.set(first.get()));

            Run run = Run.of("status", "--until", "tracker=7", "--patience", "1m", "--admin", firstAdmin, secondAdmin);

            publication.join();
            assertEquals(ExitStatus.DONE, run.status());
            assertTrue(run.output().startsWith("tracker version 7 is in force on all 2 nodes that use it"));
        }

        @Test
        void failsWhenPatienceEnds() {
            Run run =
                    Run.of("status", "--until", "tracker=7", "--patience", "100ms", "--admin", firstAdmin, secondAdmin);

            assertEquals(ExitStatus.CHECK_FAILED, run.status());
            assertTrue(run.output().contains("tracker version 7 is not in force everywhere"), run::output);
        }
    }

    @Nested
    class Drain {

        @Test
        void reachesEachNodeAndNamesThoseItCouldNotReach() {
            Run run = Run.of("drain", "--admin", firstAdmin, "127.0.0.1:1", secondAdmin);

            assertEquals(ExitStatus.CHECK_FAILED, run.status());
            assertEquals(List.of("tracker-1", "tracker-2"), nodes.drained());
            assertTrue(run.errors().getFirst().startsWith("127.0.0.1:1: not draining"));
        }
    }

    private static AtomicReference<Map<String, Object>> versions(Map<String, Object> versions) {
        return new AtomicReference<>(versions);
    }
}
