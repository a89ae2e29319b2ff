package org.carawaysill.control.document;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;
import org.carawaysill.control.ExitStatus;
import org.carawaysill.control.options.ExplainOptions;
import org.carawaysill.model.configuration.Operation;
import org.carawaysill.model.configuration.RequestExplanation;
import org.carawaysill.model.configuration.Selector;
import org.carawaysill.model.configuration.SelectorExplanation;
import org.carawaysill.model.configuration.SelectorMismatch;
import org.carawaysill.model.configuration.ServiceConfiguration;
import org.carawaysill.model.configuration.ServiceConfigurationParser;
import org.carawaysill.model.document.DurationFormat;
import org.carawaysill.model.request.RequestTerms;

/**
 * Explains to an operator how a service would classify a request. Not thread safe.
 */
public final class RequestReport {

    private static final int UNPUBLISHED = 0;

    private final PrintStream output;
    private final PrintStream errors;
    private final DocumentReader files;

    /**
     * Creates a report.
     *
     * @param output receives the report
     * @param errors receives error messages about the document
     */
    public RequestReport(PrintStream output, PrintStream errors) {
        this.output = output;
        this.errors = errors;
        this.files = new DocumentReader(errors);
    }

    /**
     * Reports on one request.
     *
     * @param options the document and the request
     * @return {@link ExitStatus#CHECK_FAILED} if no operation matches
     */
    public ExitStatus run(ExplainOptions options) {
        Path file = options.configuration();
        return files.read(file)
                .flatMap(text -> files.valueOrReportFaults(file, ServiceConfigurationParser.parse(text, UNPUBLISHED)))
                .map(service -> report(service, options))
                .orElse(ExitStatus.WRONG_INPUT);
    }

    private ExitStatus report(ServiceConfiguration service, ExplainOptions options) {
        Optional<RequestExplanation> explanation =
                RequestExplanation.explain(service, options.method(), options.path(), options.caller());
        if (explanation.isEmpty()) {
            errors.println("no operation of service " + service.service() + " matches " + options.method() + " "
                    + options.path() + ": the request would be refused as unknown_operation");
            return ExitStatus.CHECK_FAILED;
        }
        report(explanation.get());
        return ExitStatus.DONE;
    }

    private void report(RequestExplanation explanation) {
        Operation operation = explanation.classification().operation();
        output.println("operation: " + operation.name() + " (" + operation.method() + " " + operation.path() + ")");
        output.println("labels:");
        explanation.labels().forEach((key, value) -> output.println("  " + key + " = " + value));
        output.println("selectors, in published order:");
        explanation.selectors().forEach(selector -> output.println("  " + matchDescription(selector)));
        output.println("terms:");
        reportTerms(
                explanation.classification().terms(),
                explanation.classification().matched());
    }

    private void reportTerms(RequestTerms terms, List<Selector> matched) {
        String importance = terms.importance().name().toLowerCase(Locale.ROOT);
        reportTerm("importance", importance, source(matched, Selector::importance));
        reportTerm("idempotent", terms.idempotent(), source(matched, Selector::idempotent));
        reportTerm("retry-credits", terms.retryCredits(), source(matched, Selector::retryCredits));
        reportTerm("deadline", DurationFormat.write(terms.deadline()), source(matched, Selector::deadline));
    }

    private void reportTerm(String term, Object value, String source) {
        output.println("  " + term + " = " + value + ", from " + source);
    }

    private static String source(List<Selector> matched, Function<Selector, Optional<?>> term) {
        return matched.stream()
                .filter(selector -> term.apply(selector).isPresent())
                .findFirst()
                .map(selector -> "selector \"" + selector.name() + '"')
                .orElse("the defaults");
    }

    private static String matchDescription(SelectorExplanation selector) {
        String name = '"' + selector.selector().name() + '"';
        if (selector.matches()) {
            return name + " matches";
        }
        SelectorMismatch mismatch = selector.mismatches().getFirst();
        String found = mismatch.value().map(value -> "is \"" + value + '"').orElse("is not there");
        return name + " does not match: " + mismatch.key() + " " + found + ", not \"" + mismatch.pattern() + '"';
    }
}
