package org.carawaysill.model.configuration;

import java.util.List;
import java.util.Optional;
import org.carawaysill.model.identity.CallerName;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.RequestTerms;

/**
 * One service's published configuration in one version: its roster, its labels and its selectors.
 *
 * <p>Invariant: checked as a whole by the parser before it exists. Immutable and thread safe.
 *
 * @param service the service
 * @param version the platform's version number of the document
 * @param labels the service's labels
 * @param calls the services that the copies of this one call
 * @param copies the roster, in published order
 * @param operations the operations, of which the first match counts
 * @param callers the callers that the operators know
 * @param selectors the selectors, of which the first that states a term wins
 * @param defaults the terms that no selector states
 * @param limits what holds for the service as a whole
 */
public record ServiceConfiguration(
        ServiceName service,
        long version,
        Labels labels,
        List<ServiceName> calls,
        List<CopyEntry> copies,
        List<Operation> operations,
        List<CallerEntry> callers,
        List<Selector> selectors,
        RequestTerms defaults,
        ServiceLimits limits) {

    public ServiceConfiguration {
        calls = List.copyOf(calls);
        copies = List.copyOf(copies);
        operations = List.copyOf(operations);
        callers = List.copyOf(callers);
        selectors = List.copyOf(selectors);
    }

    /**
     * Starts a configuration with a name, a version and a roster; the rest is empty or has its default.
     *
     * @param service the service
     * @param version the platform's version number
     * @param copies the roster
     * @return a builder
     */
    public static ServiceConfigurationBuilder builder(ServiceName service, long version, List<CopyEntry> copies) {
        return new ServiceConfigurationBuilder(service, version, copies);
    }

    /**
     * Finds a copy of the roster.
     *
     * @param node the node beside the copy
     * @return its entry
     */
    public Optional<CopyEntry> copy(NodeName node) {
        return copies.stream().filter(copy -> copy.node().equals(node)).findFirst();
    }

    /**
     * Finds a caller that the operators know.
     *
     * @param name the caller's name
     * @return its entry
     */
    public Optional<CallerEntry> caller(CallerName name) {
        return callers.stream().filter(caller -> caller.caller().equals(name)).findFirst();
    }
}
