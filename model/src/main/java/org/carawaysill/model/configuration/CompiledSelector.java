package org.carawaysill.model.configuration;

import java.util.List;
import java.util.Map;

/**
 * A selector with its patterns compiled, by scope.
 *
 * <p>Immutable and thread safe.
 *
 * @param selector the selector
 * @param service what the service's labels must match
 * @param request what the operation's labels must match
 * @param caller what the caller's labels must match
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

    private static boolean allMatch(List<KeyedPattern> patterns, Map<String, String> labels) {
        for (KeyedPattern keyed : patterns) {
            String value = labels.get(keyed.key);
            if (value == null || !keyed.pattern.matches(value)) {
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
    private record KeyedPattern(String key, LabelPattern pattern) {}
}
