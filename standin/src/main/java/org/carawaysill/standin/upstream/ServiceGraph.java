package org.carawaysill.standin.upstream;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Optional;

/**
 * The operations of a service and the calls that they make to deeper services.
 *
 * <p>Immutable and thread safe.
 *
 * @param service the service's name
 * @param operations its operations; the first that matches a request applies
 */
public record ServiceGraph(
        @JsonProperty(required = true) String service,
        @JsonProperty(required = true) List<GraphOperation> operations) {

    public ServiceGraph {
        operations = List.copyOf(operations);
    }

    /**
     * The operation that matches a request.
     *
     * @param index the operation's index in the graph
     * @param operation the operation
     * @param segments what the wildcards of its path matched
     */
    record Match(int index, GraphOperation operation, List<String> segments) {}

    /**
     * Finds the operation of a request.
     *
     * @param method the HTTP method
     * @param path the path without its query
     * @return the first operation that matches
     */
    Optional<Match> match(String method, String path) {
        for (int i = 0; i < operations.size(); i++) {
            GraphOperation operation = operations.get(i);
            Optional<List<String>> segments =
                    operation.method().equals(method) ? operation.path().match(path) : Optional.empty();
            if (segments.isPresent()) {
                return Optional.of(new Match(i, operation, segments.get()));
            }
        }
        return Optional.empty();
    }

    /**
     * Returns whether any operation calls a deeper service.
     *
     * @return whether the copy needs its node's egress port
     */
    public boolean callsDeeper() {
        return operations.stream().anyMatch(operation -> !operation.calls().isEmpty());
    }

    /**
     * Returns a graph in which all operations have the same mean service time.
     *
     * @param milliseconds the mean service time per request
     * @return the changed graph
     */
    public ServiceGraph withServiceMilliseconds(double milliseconds) {
        return new ServiceGraph(
                service,
                operations.stream()
                        .map(operation -> operation.withServiceMilliseconds(milliseconds))
                        .toList());
    }
}
