package org.carawaysill.model.configuration;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * A selector whose patterns are compiled, grouped by scope.
 *
 * <p>Immutable and thread safe.
 *
 * @param selector the selector
 * @param service the patterns that the service's labels must match
 * @param request the patterns that the operation's labels must match
 * @param caller the patterns that the caller's labels must match
 */
record CompiledSelector(
        Selector selector, List<KeyedPattern> service, List<KeyedPattern> request, List<KeyedPattern> caller) {

    static CompiledSelector compile(Selector selector) {
        return new CompiledSelector(
                selector,
                patterns(selector, RequestLabels.SERVICE),
                patterns(selector, RequestLabels.REQUEST),
                patterns(selector, RequestLabels.CALLER));
    }

    boolean matchesService(Map<String, String> labels) {
        return allMatch(service, labels);
    }

    boolean matchesRequest(Map<String, String> labels) {
        return allMatch(request, labels);
    }

    boolean matchesCaller(Map<String, String> labels) {
        return allMatch(caller, labels);
    }

    /**
     * Finds the patterns that prevent the selector from matching.
     *
     * @param labels all labels of a request
     * @return each pattern that does not match, sorted by scoped key
     */
    List<SelectorMismatch> mismatches(Map<String, String> labels) {
        return Stream.of(service, request, caller)
                .flatMap(List::stream)
                .filter(keyed -> !keyed.matches(labels))
                .map(keyed -> new SelectorMismatch(
                        keyed.key, selector.match().get(keyed.key), Optional.ofNullable(labels.get(keyed.key))))
                .sorted(Comparator.comparing(SelectorMismatch::key))
                .toList();
    }

    private static boolean allMatch(List<KeyedPattern> patterns, Map<String, String> labels) {
        for (KeyedPattern keyed : patterns) {
            if (!keyed.matches(labels)) {
                return false;
            }
        }
        return true;
    }

    private static List<KeyedPattern> patterns(Selector selector, String scope) {
        return selector.match().entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(scope))
                .map(entry -> new KeyedPattern(entry.getKey(), new LabelPattern(entry.getValue())))
                .toList();
    }

    /** A pattern and the scoped key of the label that it must match. */
    private record KeyedPattern(String key, LabelPattern pattern) {

        private boolean matches(Map<String, String> labels) {
            String value = labels.get(key);
            return value != null && pattern.matches(value);
        }
    }
}
