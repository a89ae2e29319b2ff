package org.carawaysill.model.configuration;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.carawaysill.model.document.ChoiceFormat;
import org.carawaysill.model.document.DurationFormat;
import org.carawaysill.model.document.Located;
import org.carawaysill.model.document.TableReader;
import org.carawaysill.model.request.Importance;
import org.carawaysill.model.request.RequestTerms;

/**
 * Reads the terms that a table states. Stateless and thread safe.
 */
final class TermsReader {

    private static final int MAXIMUM_RETRY_CREDITS = 100;
    private static final String IMPORTANCE = "importance";
    private static final String IDEMPOTENT = "idempotent";
    private static final String RETRY_CREDITS = "retry-credits";
    private static final String DEADLINE = "deadline";
    private static final List<String> TERM_KEYS = List.of(IMPORTANCE, IDEMPOTENT, RETRY_CREDITS, DEADLINE);
    private static final DurationFormat DEADLINE_FORMAT =
            new DurationFormat(Duration.ofMillis(1), Duration.ofMinutes(10));

    private TermsReader() {}

    static Selector selector(TableReader table, String name, Map<String, String> match) {
        return new Selector(
                name,
                match,
                table.value(IMPORTANCE, new ChoiceFormat<>(Importance.class)).map(Located::value),
                table.booleanValue(IDEMPOTENT),
                table.wholeNumber(RETRY_CREDITS, 0, MAXIMUM_RETRY_CREDITS),
                table.value(DEADLINE, DEADLINE_FORMAT).map(Located::value));
    }

    static RequestTerms defaults(TableReader table) {
        RequestTerms fallback = ServiceConfigurationBuilder.DEFAULT_TERMS;
        Selector stated = selector(table, "defaults", Map.of());
        return new RequestTerms(
                stated.importance().orElse(fallback.importance()),
                stated.idempotent().orElse(fallback.idempotent()),
                stated.retryCredits().orElse(fallback.retryCredits()),
                stated.deadline().orElse(fallback.deadline()));
    }

    static boolean statesNoTerm(TableReader table) {
        return TERM_KEYS.stream().noneMatch(table::has);
    }
}
