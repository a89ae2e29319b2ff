package org.carawaysill.model.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.stream.Collectors;
import org.approvaltests.Approvals;
import org.carawaysill.model.document.Fault;
import org.carawaysill.model.document.TomlDocument;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Importance;
import org.carawaysill.model.request.RequestTerms;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Verifies that a service document is either accepted as a whole or refused with every fault. */
class ServiceConfigurationParserTest {

    @Nested
    class AValidDocument {

        @Test
        void yieldsItsValues() {
            ServiceConfiguration read = Documents.valid(Documents.SMALL + "[limits]\nkey-lifetime = \"1h\"\n");

            assertEquals(new ServiceName("tracker"), read.service());
            assertEquals(1, read.version());
            assertEquals(List.of(new ServiceName("parties")), read.calls());
            assertEquals(
                    21002, read.copy(new NodeName("tracker-1")).orElseThrow().peerPort());
            assertEquals(Duration.ofHours(1), read.limits().keyLifetime());
        }

        @Test
        void hasDefaults() {
            ServiceConfiguration read = Documents.valid(Documents.SMALL);

            assertEquals(new RequestTerms(Importance.ORDINARY, false, 2, Duration.ofSeconds(2)), read.defaults());
            assertEquals(ServiceLimits.DEFAULTS, read.limits());
        }
    }

    @Nested
    class ABrokenDocument {

        @Test
        void isRefusedWithEveryFault() {
            String text = Documents.file(Path.of("src", "test", "resources", "broken-service.toml"));

            Approvals.verify(
                    Documents.faults(text).stream().map(Fault::toString).collect(Collectors.joining("\n")));
        }

        @Test
        void isRefusedAtTheLineWhereItsSyntaxEnds() {
            List<Fault> faults = Documents.faults(Documents.SMALL + "[limits\n");

            assertEquals(1, faults.size());
            assertEquals(Documents.SMALL.lines().count() + 1, faults.getFirst().line());
        }

        @Test
        void isRefusedWithoutARoster() {
            assertEquals(
                    List.of(new Fault(1, "copies", "the roster is empty: state at least one copy under [[copies]]")),
                    Documents.faults("service = \"tracker\""));
        }

        @Test
        void isRefusedIfLongerThanThePlatformAllows() {
            String text = Documents.SMALL + "#".repeat(TomlDocument.MAXIMUM_LENGTH);

            assertEquals(0, Documents.faults(text).getFirst().line());
        }

        /**
         * Guards against a stack overflow by a published document with thousands of nested brackets: a parser that
         * recurses into each of them would end the node's thread. The document must be refused like any other invalid
         * one.
         */
        @Test
        void isRefusedAtAnyDepthOfNesting() {
            for (int depth : new int[] {100, 10_000, 200_000}) {
                List<Fault> faults =
                        Documents.faults(Documents.SMALL + "deep = " + "[".repeat(depth) + "]".repeat(depth));
                assertTrue(!faults.isEmpty(), () -> "depth " + depth);
            }
        }

        @ParameterizedTest
        @ValueSource(
                strings = {"service = 1", "service = 1\n", "service = 1 #\n\n# service\ncalls = []", "service = 1\n["})
        void isRefusedAtTheRepeatedKey(String end) {
            Fault expected = new Fault(2, "service", "this key stands twice in its table");

            assertEquals(List.of(expected), Documents.faults("service = \"a\"\n" + end));
        }
    }
}
