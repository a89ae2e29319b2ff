package org.carawaysill.load.site;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carawaysill.load.site.GraphOperation.Call;
import org.carawaysill.model.identity.ServiceName;

/**
 * The calls between the services of a site.
 *
 * <p>Invariant: the operation of every call exists. Immutable and thread safe.
 */
public final class CallGraph {

    private final Map<ServiceName, ServiceGraph> services = new HashMap<>();

    CallGraph(List<ServiceGraph> graphs) {
        graphs.forEach(graph -> services.put(graph.service(), graph));
        graphs.forEach(graph ->
                graph.operations().forEach(operation -> operation.calls().forEach(this::operation)));
    }

    /**
     * Counts how often a request runs at each hop without retries.
     *
     * @param load the request
     * @return the number of runs at each hop that it reaches
     */
    public Map<Hop, Integer> runs(LoadOperation load) {
        Map<Hop, Integer> runs = new HashMap<>();
        addRuns(entry(load), runs);
        return Map.copyOf(runs);
    }

    /**
     * Returns whether a hop may run more than once.
     *
     * @param hop the hop
     * @return whether its graph declares it idempotent
     */
    public boolean idempotent(Hop hop) {
        return graph(hop.service()).operations().stream()
                .filter(operation -> operation.name().equals(hop.operation()))
                .allMatch(GraphOperation::idempotent);
    }

    /**
     * Returns the time for which a request holds slots of a service, including its deeper calls.
     *
     * @param load the request
     * @param holder the service whose slots are held
     * @param slowed the service that is slowed down
     * @param slowdown the factor on its service time
     * @return milliseconds, over all its runs there
     */
    public double holdMilliseconds(LoadOperation load, ServiceName holder, ServiceName slowed, double slowdown) {
        return hold(entry(load), holder, new Slowness(slowed, slowdown));
    }

    private double hold(Call call, ServiceName holder, Slowness slowness) {
        return call.service().equals(holder)
                ? work(call, slowness)
                : operation(call).calls().stream()
                        .mapToDouble(deeper -> hold(deeper, holder, slowness))
                        .sum();
    }

    private double work(Call call, Slowness slowness) {
        GraphOperation operation = operation(call);
        double own = operation.serviceMilliseconds() * slowness.factorOf(call.service());
        return own
                + operation.calls().stream()
                        .mapToDouble(deeper -> work(deeper, slowness))
                        .sum();
    }

    private void addRuns(Call call, Map<Hop, Integer> runs) {
        GraphOperation operation = operation(call);
        runs.merge(new Hop(call.service(), operation.name()), 1, Integer::sum);
        operation.calls().forEach(deeper -> addRuns(deeper, runs));
    }

    private GraphOperation operation(Call call) {
        return graph(call.service()).operations().stream()
                .filter(operation -> operation.method().equals(call.method())
                        && operation.path().equals(call.path()))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException(
                        "no operation of " + call.service() + " is " + call.method() + " " + call.path()));
    }

    private ServiceGraph graph(ServiceName service) {
        ServiceGraph graph = services.get(service);
        if (graph == null) {
            throw new IllegalArgumentException("no graph of " + service);
        }
        return graph;
    }

    private static Call entry(LoadOperation load) {
        return new Call(load.service(), load.method(), load.path());
    }

    /** The service that is slowed down and its factor. Immutable and thread safe. */
    private record Slowness(ServiceName service, double factor) {

        double factorOf(ServiceName other) {
            return service.equals(other) ? factor : 1;
        }
    }
}
