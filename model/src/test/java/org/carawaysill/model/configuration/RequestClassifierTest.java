package org.carawaysill.model.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.List;
import java.util.Optional;
import org.carawaysill.model.identity.CallerName;
import org.carawaysill.model.request.Importance;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Verifies that a request gets the first matching operation, and each term from the first matching selector that states
 * it.
 */
class RequestClassifierTest {

    private static final CallerName GATE = new CallerName("quay-gate");
    private static final CallerName UNKNOWN_CALLER = new CallerName("stranger");
    private static final String SELECTORS = """
            [[selectors]]
            name = "gate"
            match = { "caller.desk" = "g*e", "service.tier" = "entry" }
            importance = "important"
            [[selectors]]
            name = "lookups"
            match = { "request.kind" = "lookup" }
            importance = "background"
            idempotent = true
            [[selectors]]
            name = "other service"
            match = { "service.tier" = "deep" }
            retry-credits = 9
            """;

    private final RequestClassifier classifier = new RequestClassifier(Documents.valid(Documents.SMALL + SELECTORS));

    @Nested
    class Terms {

        @Test
        void comeFromTheFirstSelectorThatStatesThem() {
            Classification gate =
                    classifier.classify("GET", "/bills/7/status", GATE).orElseThrow();

            assertEquals(
                    List.of("gate", "lookups"),
                    gate.matched().stream().map(Selector::name).toList());
            assertEquals(Importance.IMPORTANT, gate.terms().importance());
            assertEquals(true, gate.terms().idempotent());
            assertEquals(2, gate.terms().retryCredits());
        }

        @Test
        void ofACallerWithoutLabelsDependOnTheOperationOnly() {
            Classification stranger = classifier
                    .classify("GET", "/bills/7/status?full=true", UNKNOWN_CALLER)
                    .orElseThrow();

            assertEquals(Importance.BACKGROUND, stranger.terms().importance());
        }

        @Test
        void areCachedForTheSameOperationAndCaller() {
            Optional<Classification> first = classifier.classify("GET", "/bills/7/status", GATE);
            Optional<Classification> second = classifier.classify("GET", "/bills/8/status", GATE);

            assertSame(first.orElseThrow(), second.orElseThrow());
        }
    }

    @Nested
    class Operations {

        @ParameterizedTest
        @ValueSource(strings = {"/bills/7", "/bills//status", "/bills/7/status/", "bills/7/status", "/", ""})
        void matchWholePathsOnly(String path) {
            assertEquals(Optional.empty(), classifier.classify("GET", path, GATE));
        }

        /**
         * Guards against misclassified paths with dot segments: by its literal form, GET /bills/../status is an
         * idempotent lookup that may be retried, but the copy resolves the dots and runs the operation at /status,
         * possibly twice. Such a path must match no operation.
         */
        @ParameterizedTest
        @ValueSource(strings = {"/bills/../status", "/bills/%2E%2e/status", "/bills/./status", "/bills/.%2e/status"})
        void neverMatchDotSegments(String path) {
            assertEquals(Optional.empty(), classifier.classify("GET", path, GATE));
        }
    }
}
