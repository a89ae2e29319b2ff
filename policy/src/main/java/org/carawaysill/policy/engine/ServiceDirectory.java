package org.carawaysill.policy.engine;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.carawaysill.model.configuration.Classification;
import org.carawaysill.model.configuration.RequestClassifier;
import org.carawaysill.model.configuration.ServiceConfiguration;
import org.carawaysill.model.identity.CallerName;
import org.carawaysill.model.identity.ServiceName;

/**
 * Holds the documents in force at this node, with their classifiers.
 *
 * <p>Invariant: a document is only ever replaced by one of a higher version. Not thread safe: owned by the policy.
 */
final class ServiceDirectory {

    private final Map<ServiceName, Entry> entries = new HashMap<>();

    /** Adopts a document if it is newer; returns whether it is. */
    boolean adopt(ServiceConfiguration configuration) {
        Entry current = entries.get(configuration.service());
        if (current != null && current.configuration().version() >= configuration.version()) {
            return false;
        }
        entries.put(configuration.service(), new Entry(configuration, new RequestClassifier(configuration)));
        return true;
    }

    Optional<ServiceConfiguration> configuration(ServiceName service) {
        return Optional.ofNullable(entries.get(service)).map(Entry::configuration);
    }

    Optional<Classification> classify(ServiceName service, String method, String path, CallerName caller) {
        return Optional.ofNullable(entries.get(service))
                .flatMap(entry -> entry.classifier().classify(method, path, caller));
    }

    private record Entry(ServiceConfiguration configuration, RequestClassifier classifier) {}
}
