package org.carawaysill.model.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.carawaysill.model.identity.CallerName;
import org.carawaysill.model.request.RequestTerms;
import org.jspecify.annotations.Nullable;

/**
 * Classifies requests by one service's configuration: the first operation that matches, then for each term the first
 * selector that matches and states it.
 *
 * <p>Selectors are evaluated once for each pair of operation and caller and then remembered; of callers that are not in
 * the configuration, only the {@value #REMEMBERED_UNKNOWN_CALLERS} used last, since a caller names itself as it likes.
 * Not thread safe: used by the one thread that decides.
 */
public final class RequestClassifier {

    private static final int REMEMBERED_UNKNOWN_CALLERS = 1024;
    private static final float LOAD_FACTOR = 0.75f;

    private final ServiceConfiguration configuration;
    private final List<CompiledOperation> operations = new ArrayList<>();
    private final List<CompiledSelector> selectors;
    private final Map<CallerName, CallerClassifications> knownCallers = new HashMap<>();
    private final Map<CallerName, CallerClassifications> unknownCallers = new RecentCallers();

    /**
     * Prepares to classify.
     *
     * @param configuration a checked configuration
     */
    public RequestClassifier(ServiceConfiguration configuration) {
        this.configuration = configuration;
        Map<String, String> service =
                RequestLabels.ofService(configuration.service().value(), configuration.labels());
        selectors = configuration.selectors().stream()
                .map(CompiledSelector::compile)
                .filter(selector -> selector.matches(RequestLabels.SERVICE, service))
                .toList();
        for (Operation operation : configuration.operations()) {
            operations.add(new CompiledOperation(operation, new PathPattern(operation.path()), operations.size()));
        }
        for (CallerEntry caller : configuration.callers()) {
            knownCallers.put(caller.caller(), new CallerClassifications(caller, operations.size()));
        }
    }

    /**
     * Classifies a request.
     *
     * @param method the HTTP method
     * @param path the path, with or without its query
     * @param caller who asks
     * @return the classification, or empty if no operation matches
     */
    public Optional<Classification> classify(String method, String path, CallerName caller) {
        for (CompiledOperation operation : operations) {
            if (operation.matches(method, path)) {
                return Optional.of(classification(operation, caller));
            }
        }
        return Optional.empty();
    }

    private Classification classification(CompiledOperation operation, CallerName caller) {
        CallerClassifications known = knownCallers.get(caller);
        CallerClassifications classifications = known != null
                ? known
                : unknownCallers.computeIfAbsent(
                        caller,
                        name -> new CallerClassifications(new CallerEntry(name, Labels.NONE), operations.size()));
        Classification remembered = classifications.byOperation[operation.index];
        if (remembered == null) {
            remembered = evaluate(operation.operation, classifications.caller);
            classifications.byOperation[operation.index] = remembered;
        }
        return remembered;
    }

    private Classification evaluate(Operation operation, CallerEntry caller) {
        Map<String, String> request = RequestLabels.ofOperation(operation);
        Map<String, String> callerLabels = RequestLabels.ofCaller(caller);
        List<Selector> matched = selectors.stream()
                .filter(selector -> selector.matches(RequestLabels.REQUEST, request))
                .filter(selector -> selector.matches(RequestLabels.CALLER, callerLabels))
                .map(CompiledSelector::selector)
                .toList();
        return new Classification(operation, terms(matched), matched);
    }

    private RequestTerms terms(List<Selector> matched) {
        RequestTerms defaults = configuration.defaults();
        return new RequestTerms(
                first(matched, Selector::importance).orElse(defaults.importance()),
                first(matched, Selector::idempotent).orElse(defaults.idempotent()),
                first(matched, Selector::retryCredits).orElse(defaults.retryCredits()),
                first(matched, Selector::deadline).orElse(defaults.deadline()));
    }

    private static <T> Optional<T> first(List<Selector> matched, Function<Selector, Optional<T>> term) {
        return matched.stream().map(term).flatMap(Optional::stream).findFirst();
    }

    /** An operation with its pattern compiled. */
    private record CompiledOperation(Operation operation, PathPattern pattern, int index) {

        boolean matches(String method, String path) {
            boolean methodMatches = operation.method().equals(OperationsReader.ANY_METHOD)
                    || operation.method().equals(method);
            return methodMatches && pattern.matches(path);
        }
    }

    /** The classifications of one caller's requests by the index of the operation; null until first asked for. */
    private static final class CallerClassifications {

        private final CallerEntry caller;
        private final @Nullable Classification[] byOperation;

        private CallerClassifications(CallerEntry caller, int operations) {
            this.caller = caller;
            this.byOperation = new Classification[operations];
        }
    }

    /**
     * Forgets the caller that was used longest ago.
     *
     * <p>Guards the memory of the node against clients that send a new caller name with each request: the map stays at
     * its bound, and such a client pays with an evaluation per request.
     */
    private static final class RecentCallers extends LinkedHashMap<CallerName, CallerClassifications> {

        private RecentCallers() {
            super(REMEMBERED_UNKNOWN_CALLERS, LOAD_FACTOR, true);
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<CallerName, CallerClassifications> eldest) {
            return size() > REMEMBERED_UNKNOWN_CALLERS;
        }
    }
}
