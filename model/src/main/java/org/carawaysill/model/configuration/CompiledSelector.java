package org.carawaysill.model.configuration;

import java.util.HashMap;
import java.util.Map;

/**
 * A selector with its patterns compiled.
 *
 * <p>Immutable and thread safe.
 *
 * @param selector the selector
 * @param patterns its label patterns by scoped key
 */
record CompiledSelector(Selector selector, Map<String, LabelPattern> patterns) {

    static CompiledSelector compile(Selector selector) {
        Map<String, LabelPattern> patterns = new HashMap<>();
        selector.match().forEach((key, pattern) -> patterns.put(key, new LabelPattern(pattern)));
        return new CompiledSelector(selector, Map.copyOf(patterns));
    }

    /**
     * Matches the labels of one scope.
     *
     * @param scope the beginning of the scope's keys
     * @param labels labels by scoped key
     * @return whether each pattern of the scope matches a label that is there
     */
    boolean matches(String scope, Map<String, String> labels) {
        return patterns.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(scope))
                .allMatch(entry -> {
                    String value = labels.get(entry.getKey());
                    return value != null && entry.getValue().matches(value);
                });
    }
}
