package org.carawaysill.model.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Indexes the operations of a service by the first segment of their path, so that a request is compared with only a few
 * of them.
 *
 * <p>Invariant: each list is in published order and holds every operation that can match a path with that first
 * segment. Not thread safe while operations are added; read-only afterwards.
 */
final class OperationIndex {

    private final Map<String, List<CompiledOperation>> byFirstSegment = new HashMap<>();
    private final List<CompiledOperation> withoutFirstSegment = new ArrayList<>();

    void add(CompiledOperation operation) {
        Optional<String> segment = operation.path().firstLiteral();
        if (segment.isPresent()) {
            byFirstSegment
                    .computeIfAbsent(segment.get(), added -> new ArrayList<>(withoutFirstSegment))
                    .add(operation);
        } else {
            byFirstSegment.values().forEach(operations -> operations.add(operation));
            withoutFirstSegment.add(operation);
        }
    }

    /**
     * Finds the first operation that matches a request.
     *
     * @param method the HTTP method
     * @param path the path, with or without its query
     * @return the operation
     */
    Optional<CompiledOperation> firstMatch(String method, String path) {
        for (CompiledOperation operation : candidates(PathPattern.firstSegment(path))) {
            if (operation.matches(method, path)) {
                return Optional.of(operation);
            }
        }
        return Optional.empty();
    }

    /**
     * Finds an earlier operation that matches every request of a later one, so that the later one would never match.
     *
     * @param later the later operation
     * @return the earlier operation
     */
    Optional<CompiledOperation> findCovering(CompiledOperation later) {
        List<CompiledOperation> candidates =
                later.path().firstLiteral().map(this::candidates).orElse(withoutFirstSegment);
        return candidates.stream().filter(earlier -> earlier.covers(later)).findFirst();
    }

    private List<CompiledOperation> candidates(String firstSegment) {
        return byFirstSegment.getOrDefault(firstSegment, withoutFirstSegment);
    }
}
