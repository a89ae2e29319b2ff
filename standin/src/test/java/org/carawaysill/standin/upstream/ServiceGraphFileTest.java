package org.carawaysill.standin.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ServiceGraphFileTest {

    private static final String OPERATION = """
            service = "tracker"
            [[operations]]
            name = "status-lookup"
            method = "GET"
            path = "/bills/*/status"
            idempotent = true
            service-milliseconds = 5.0
            """;

    @Nested
    class OfTheSites {

        @ParameterizedTest
        @ValueSource(strings = {"trinacria", "tengri"})
        void callsOnlyOperationsThatTheCalledServiceHas(String site) throws IOException {
            Map<String, ServiceGraph> graphs = read(Path.of("..", "sites", site, "graphs"));

            List<GraphCall> calls = graphs.values().stream()
                    .flatMap(graph -> graph.operations().stream())
                    .flatMap(operation -> operation.calls().stream())
                    .toList();
            assertTrue(calls.size() > 3);
            for (GraphCall call : calls) {
                assertTrue(
                        graphs.get(call.service())
                                .match(call.method(), call.path())
                                .isPresent(),
                        call::toString);
            }
        }

        private static Map<String, ServiceGraph> read(Path directory) throws IOException {
            try (Stream<Path> files = Files.list(directory)) {
                return files.map(ServiceGraphFile::read)
                        .collect(Collectors.toMap(ServiceGraph::service, Function.identity()));
            }
        }
    }

    @Nested
    class WhenItIsWrong {

        @ParameterizedTest
        @CsvSource(
                delimiter = '|',
                value = {
                    "idempotent = true | idempotent = 7 | operations.1.idempotent: ",
                    "idempotent = true | idempotnet = true | operations.1.idempotent: Missing",
                    "path = | 'colour = 1\npath = ' | operations.1.colour: Unrecognized field",
                    "service-milliseconds = 5.0 | answer-bytes = 9 | operations.1.service-milliseconds: Missing",
                    "service-milliseconds = 5.0 | service-milliseconds = -1 | operations.1: ",
                    "path = | path : | ",
                })
        void saysInOneLineWhere(String right, String wrong, String start) {
            String text = OPERATION.replace(right, wrong);

            String message = assertThrows(IllegalArgumentException.class, () -> ServiceGraphFile.parse(text))
                    .getMessage();
            assertTrue(message.startsWith(start == null ? "" : start), message);
            assertEquals(1, message.lines().count());
        }
    }

    @Nested
    class WhenItMatches {

        private final ServiceGraph graph = ServiceGraphFile.parse(OPERATION);

        @Test
        void takesTheSegmentOfTheWildcardOver() {
            ServiceGraph.Match match = graph.match("GET", "/bills/42/status").orElseThrow();

            assertEquals(
                    "/services/parties/parties/42",
                    new GraphCall("parties", "GET", "/parties/*").egressPath(match.segments(), "none"));
        }

        @ParameterizedTest
        @CsvSource({"POST,/bills/42/status", "GET,/bills/42", "GET,/bills/42/status/", "GET,/bill/42/status"})
        void takesNoOtherMethodOrPath(String method, String path) {
            assertTrue(graph.match(method, path).isEmpty());
        }
    }
}
