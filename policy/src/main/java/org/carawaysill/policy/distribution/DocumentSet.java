package org.carawaysill.policy.distribution;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.carawaysill.model.configuration.ServiceConfiguration;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;

/**
 * The documents that a node follows: those of its own service and of each service that it calls.
 *
 * <p>Invariant: a document that is no longer followed stays stored, so that its version can't fall when it is followed
 * again. Not thread safe: one thread owns it.
 */
final class DocumentSet {

    private final ServiceName own;
    private final Map<ServiceName, FollowedDocument> documents = new HashMap<>();
    private Set<ServiceName> followed;

    DocumentSet(ServiceName own) {
        this.own = own;
        this.followed = Set.of(own);
    }

    ServiceName own() {
        return own;
    }

    Set<ServiceName> followed() {
        return followed;
    }

    boolean follows(ServiceName service) {
        return followed.contains(service);
    }

    FollowedDocument of(ServiceName service) {
        return documents.computeIfAbsent(service, FollowedDocument::new);
    }

    Optional<ServiceConfiguration> newestOwn() {
        return of(own).newest();
    }

    /** Follows the services that the newest document of the own service calls. */
    void updateFollowed() {
        Set<ServiceName> services = new TreeSet<>(Set.of(own));
        newestOwn().ifPresent(configuration -> services.addAll(configuration.calls()));
        followed = services;
    }

    /**
     * Returns whether a node is in a service's newest roster.
     *
     * @param service the service
     * @param node the node
     * @return whether it has a copy there
     */
    boolean hasCopy(ServiceName service, NodeName node) {
        return of(service)
                .newest()
                .flatMap(configuration -> configuration.copy(node))
                .isPresent();
    }
}
