package org.carawaysill.model.configuration;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.carawaysill.model.identity.CallerName;
import org.carawaysill.model.request.RequestTerms;

/**
 * Classifies requests by the configuration of one service: determines the first operation that matches, then takes each
 * term from the first matching selector that states it.
 *
 * <p>Selectors are evaluated once per pair of operation and caller; the results of the {@value #CACHE_SIZE} most
 * recently used pairs are cached. Not thread safe: used by the policy's thread only.
 */
public final class RequestClassifier {

    private static final int CACHE_SIZE = 4096;
    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private final RequestTerms defaults;
    private final OperationIndex operations = new OperationIndex();
    private final List<CompiledSelector> selectors;
    private final Map<CallerName, CallerEntry> callers = new HashMap<>();
    private final Map<OperationCaller, Classification> cache = new ClassificationCache();

    /**
     * Creates a classifier.
     *
     * @param configuration a validated configuration
     */
    public RequestClassifier(ServiceConfiguration configuration) {
        defaults = configuration.defaults();
        Map<String, String> service =
                RequestLabels.ofService(configuration.service().value(), configuration.labels());
        selectors = configuration.selectors().stream()
                .map(CompiledSelector::compile)
                .filter(selector -> selector.matchesService(service))
                .toList();
        int index = 0;
        for (Operation operation : configuration.operations()) {
            operations.add(new CompiledOperation(operation, new PathPattern(operation.path()), index));
            index++;
        }
        configuration.callers().forEach(caller -> callers.put(caller.caller(), caller));
    }

    /**
     * Classifies a request.
     *
     * @param method the HTTP method
     * @param path the path, with or without its query
     * @param caller the caller
     * @return the classification, or empty if no operation matches
     */
    public Optional<Classification> classify(String method, String path, CallerName caller) {
        return operations.firstMatch(method, path).map(operation -> classification(operation, caller));
    }

    private Classification classification(CompiledOperation operation, CallerName caller) {
        OperationCaller pair = new OperationCaller(operation.index(), caller);
        Classification cached = cache.get(pair);
        if (cached != null) {
            return cached;
        }
        Classification evaluated = evaluate(operation.operation(), caller);
        cache.put(pair, evaluated);
        return evaluated;
    }

    private Classification evaluate(Operation operation, CallerName name) {
        CallerEntry caller = callers.getOrDefault(name, new CallerEntry(name, Labels.NONE));
        Map<String, String> requestLabels = RequestLabels.ofOperation(operation);
        Map<String, String> callerLabels = RequestLabels.ofCaller(caller);
        List<Selector> matched = selectors.stream()
                .filter(selector -> selector.matchesRequest(requestLabels))
                .filter(selector -> selector.matchesCaller(callerLabels))
                .map(CompiledSelector::selector)
                .toList();
        return new Classification(operation, terms(matched), matched);
    }

    private RequestTerms terms(List<Selector> matched) {
        return new RequestTerms(
                first(matched, Selector::importance).orElse(defaults.importance()),
                first(matched, Selector::idempotent).orElse(defaults.idempotent()),
                first(matched, Selector::retryCredits).orElse(defaults.retryCredits()),
                first(matched, Selector::deadline).orElse(defaults.deadline()));
    }

    private static <T> Optional<T> first(List<Selector> matched, Function<Selector, Optional<T>> term) {
        return matched.stream().map(term).flatMap(Optional::stream).findFirst();
    }

    /** The key of a cached classification. */
    private record OperationCaller(int operation, CallerName caller) {}

    /**
     * A bounded cache that evicts the least recently used classification.
     *
     * <p>The bound protects the memory of the node against clients that use a new caller name for each request; each
     * request of such a client costs an evaluation.
     */
    private static final class ClassificationCache extends LinkedHashMap<OperationCaller, Classification> {

        private ClassificationCache() {
            super(INITIAL_CAPACITY, LOAD_FACTOR, true);
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<OperationCaller, Classification> eldest) {
            return size() > CACHE_SIZE;
        }
    }
}
