package org.carawaysill.model.configuration;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.carawaysill.model.identity.CallerName;

/**
 * Explains the classification of a request: its labels, and whether each selector matches them.
 *
 * <p>Invariant: the matching selectors are those of the classification. Immutable and thread safe.
 *
 * @param classification the classification
 * @param labels all labels of the request by scoped key
 * @param selectors every selector of the service, in published order
 */
public record RequestExplanation(
        Classification classification, SortedMap<String, String> labels, List<SelectorExplanation> selectors) {

    public RequestExplanation {
        labels = Collections.unmodifiableSortedMap(new TreeMap<>(labels));
        selectors = List.copyOf(selectors);
    }

    /**
     * Explains the classification of a request; intended for operators, not for every request that a node serves.
     *
     * @param configuration a validated configuration
     * @param method the HTTP method
     * @param path the path, with or without its query
     * @param caller the caller
     * @return the explanation, or empty if no operation matches
     */
    public static Optional<RequestExplanation> explain(
            ServiceConfiguration configuration, String method, String path, CallerName caller) {
        return new RequestClassifier(configuration)
                .classify(method, path, caller)
                .map(classification -> explain(configuration, classification, caller));
    }

    private static RequestExplanation explain(
            ServiceConfiguration configuration, Classification classification, CallerName caller) {
        CallerEntry entry = configuration.caller(caller).orElse(new CallerEntry(caller, Labels.NONE));
        SortedMap<String, String> labels = new TreeMap<>();
        labels.putAll(RequestLabels.ofService(configuration.service().value(), configuration.labels()));
        labels.putAll(RequestLabels.ofOperation(classification.operation()));
        labels.putAll(RequestLabels.ofCaller(entry));
        List<SelectorExplanation> selectors = configuration.selectors().stream()
                .map(selector -> explain(selector, labels))
                .toList();
        return new RequestExplanation(classification, labels, selectors);
    }

    private static SelectorExplanation explain(Selector selector, Map<String, String> labels) {
        return new SelectorExplanation(
                selector, CompiledSelector.compile(selector).mismatches(labels));
    }
}
