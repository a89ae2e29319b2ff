package org.carawaysill.model.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.carawaysill.model.identity.CallerName;
import org.carawaysill.model.request.Importance;
import org.carawaysill.model.request.RequestTerms;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Verifies that the documents of both sites are valid and grant the terms that the sites need. */
class SiteDocumentsTest {

    private static final List<String> CALLERS = List.of(
            "anonymous", "issuing-desk", "quay-gate", "batch-archive", "tellers", "interest-run", "batch-reports");

    @ParameterizedTest
    @CsvSource({
        "trinacria, tracker, 4, 60", "trinacria, issuer, 3, 80", "trinacria, parties, 3, 80",
        "trinacria, manifests, 3, 10", "tengri, statements, 4, 170", "tengri, posting-engine, 3, 220",
        "tengri, reconciler, 4, 170", "tengri, teller-gateway, 3, 25"
    })
    void haveTheLicensedCopies(String site, String service, int copies, int slots) {
        ServiceConfiguration document = document(site, service);

        assertEquals(service, document.service().value());
        assertEquals(copies, document.copies().size());
        assertTrue(document.copies().stream().allMatch(copy -> copy.slots() == slots));
        assertEquals(
                3, document.copies().stream().map(CopyEntry::zone).distinct().count());
    }

    @Nested
    class WhatMustRunAtMostOnce {

        @ParameterizedTest
        @CsvSource({
            "trinacria, issuer, /bills", "trinacria, issuer, /bills/7/endorse",
            "trinacria, manifests, /manifests/7/entries", "tengri, posting-engine, /interest-runs",
            "tengri, posting-engine, /ledger/7/postings", "tengri, teller-gateway, /accounts/7/postings"
        })
        void isCriticalAndNotIdempotentWhoeverAsks(String site, String service, String path) {
            for (String caller : CALLERS) {
                RequestTerms terms = terms(site, service, "POST", path, caller);

                assertEquals(Importance.CRITICAL, terms.importance());
                assertFalse(terms.idempotent());
            }
        }
    }

    @Nested
    class Lookups {

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "teller-gateway /accounts/7/balance",
                    "posting-engine /ledger/7/balance",
                    "reconciler /rates/7"
                })
        void ofTellersAreCriticalDownTheWholeChain(String hop) {
            String[] words = hop.split(" ");

            assertEquals(
                    Importance.CRITICAL,
                    terms("tengri", words[0], "GET", words[1], "tellers").importance());
            assertEquals(
                    Importance.ORDINARY,
                    terms("tengri", words[0], "GET", words[1], "anonymous").importance());
        }

        @ParameterizedTest
        @ValueSource(strings = {"tracker /bills/7/status", "parties /parties/7", "manifests /manifests/7"})
        void areOrderedByCallerDownTheWholeChain(String hop) {
            String[] words = hop.split(" ");

            assertEquals(
                    Importance.IMPORTANT,
                    terms("trinacria", words[0], "GET", words[1], "quay-gate").importance());
            assertEquals(
                    Importance.ORDINARY,
                    terms("trinacria", words[0], "GET", words[1], "forwarders").importance());
            assertEquals(
                    Importance.BACKGROUND,
                    terms("trinacria", words[0], "GET", words[1], "batch-archive")
                            .importance());
        }

        @Test
        void areIdempotent() {
            assertTrue(terms("trinacria", "tracker", "GET", "/bills/7/status", "anonymous")
                    .idempotent());
            assertTrue(terms("tengri", "statements", "GET", "/statements/7", "online-banking")
                    .idempotent());
        }
    }

    @Test
    void includeAValidDocumentedExample() {
        String page = Documents.file(Path.of("..", "docs", "operators", "first-configuration.md"));
        String example = page.split("```toml\n")[1].split("```")[0];

        assertEquals(4, Documents.valid(example).selectors().size());
    }

    private static RequestTerms terms(String site, String service, String method, String path, String caller) {
        return new RequestClassifier(document(site, service))
                .classify(method, path, new CallerName(caller))
                .orElseThrow()
                .terms();
    }

    private static ServiceConfiguration document(String site, String service) {
        Path file = Path.of("..", "sites", site, "configuration", service + ".toml");
        return Documents.valid(Documents.file(file));
    }
}
