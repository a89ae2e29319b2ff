package org.carawaysill.model.configuration;

import java.time.Duration;
import java.util.List;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Importance;
import org.carawaysill.model.request.RequestTerms;

/**
 * Builds a service's configuration; values that are not set are empty or have their defaults.
 *
 * <p>Does not validate: the parser does. Not thread safe.
 */
public final class ServiceConfigurationBuilder {

    /** The terms used where neither a selector nor the document's defaults state one. */
    public static final RequestTerms DEFAULT_TERMS =
            new RequestTerms(Importance.ORDINARY, false, 2, Duration.ofSeconds(2));

    private final ServiceName service;
    private final long version;
    private final List<CopyEntry> copies;
    private Labels labels = Labels.NONE;
    private List<ServiceName> calls = List.of();
    private List<Operation> operations = List.of();
    private List<CallerEntry> callers = List.of();
    private List<Selector> selectors = List.of();
    private RequestTerms defaults = DEFAULT_TERMS;
    private ServiceLimits limits = ServiceLimits.DEFAULTS;

    ServiceConfigurationBuilder(ServiceName service, long version, List<CopyEntry> copies) {
        this.service = service;
        this.version = version;
        this.copies = copies;
    }

    /**
     * Sets the service's labels.
     *
     * @param value the labels
     * @return this builder
     */
    public ServiceConfigurationBuilder labels(Labels value) {
        labels = value;
        return this;
    }

    /**
     * Sets the services that the copies call.
     *
     * @param value the services
     * @return this builder
     */
    public ServiceConfigurationBuilder calls(List<ServiceName> value) {
        calls = value;
        return this;
    }

    /**
     * Sets the operations.
     *
     * @param value the operations, of which the first match applies
     * @return this builder
     */
    public ServiceConfigurationBuilder operations(List<Operation> value) {
        operations = value;
        return this;
    }

    /**
     * Sets the callers that the operators have configured.
     *
     * @param value the callers
     * @return this builder
     */
    public ServiceConfigurationBuilder callers(List<CallerEntry> value) {
        callers = value;
        return this;
    }

    /**
     * Sets the selectors.
     *
     * @param value the selectors; the first that states a term determines it
     * @return this builder
     */
    public ServiceConfigurationBuilder selectors(List<Selector> value) {
        selectors = value;
        return this;
    }

    /**
     * Sets the terms to use where no selector states them.
     *
     * @param value the terms
     * @return this builder
     */
    public ServiceConfigurationBuilder defaults(RequestTerms value) {
        defaults = value;
        return this;
    }

    /**
     * Sets the limits of the service as a whole.
     *
     * @param value the limits
     * @return this builder
     */
    public ServiceConfigurationBuilder limits(ServiceLimits value) {
        limits = value;
        return this;
    }

    /**
     * Creates the configuration.
     *
     * @return the configuration
     */
    public ServiceConfiguration build() {
        return new ServiceConfiguration(
                service, version, labels, calls, copies, operations, callers, selectors, defaults, limits);
    }
}
