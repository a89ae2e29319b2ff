package org.carawaysill.model.configuration;

import java.util.List;
import java.util.Optional;
import org.carawaysill.model.identity.CallerName;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.RequestTerms;

/**
 * One version of a service's published configuration: its roster, labels and selectors.
 *
 * <p>Invariant: the parser has validated it as a whole. Immutable and thread safe.
 *
 * @param service the service
 * @param version the version number that the platform gave the document
 * @param labels the service's labels
 * @param calls the services that the copies of this service call
 * @param copies the roster, in published order
 * @param operations the operations, of which the first match applies
 * @param callers the callers that the operators have configured
 * @param selectors the selectors; the first that states a term determines it
 * @param defaults the terms to use where no selector states them
 * @param limits the limits of the service as a whole
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
     * Creates a builder with a name, a version and a roster; everything else is empty or has its default.
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
     * Finds a copy in the roster.
     *
     * @param node the node beside the copy
     * @return its entry
     */
    public Optional<CopyEntry> copy(NodeName node) {
        return copies.stream().filter(copy -> copy.node().equals(node)).findFirst();
    }

    /**
     * Finds a caller that the operators have configured.
     *
     * @param name the caller's name
     * @return its entry
     */
    public Optional<CallerEntry> caller(CallerName name) {
        return callers.stream().filter(caller -> caller.caller().equals(name)).findFirst();
    }
}
