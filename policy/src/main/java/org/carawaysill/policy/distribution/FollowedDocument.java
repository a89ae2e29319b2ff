package org.carawaysill.policy.distribution;

import java.util.Optional;
import org.carawaysill.model.configuration.ServiceConfiguration;
import org.carawaysill.model.identity.ServiceName;

/**
 * What a node holds of one service's document.
 *
 * <p>Invariant: the newest version and the version in force never fall. Not thread safe: one thread owns it.
 */
final class FollowedDocument {

    private final ServiceName service;
    private final DocumentHistory history;
    private Optional<ServiceConfiguration> newest = Optional.empty();
    private Optional<ServiceConfiguration> inForce = Optional.empty();
    private Optional<RefusedDocument> refused = Optional.empty();

    FollowedDocument(ServiceName service) {
        this.service = service;
        this.history = new DocumentHistory(service);
    }

    ServiceName service() {
        return service;
    }

    DocumentHistory history() {
        return history;
    }

    Optional<ServiceConfiguration> newest() {
        return newest;
    }

    Optional<ServiceConfiguration> inForce() {
        return inForce;
    }

    Optional<RefusedDocument> refused() {
        return refused;
    }

    long version() {
        return history.version();
    }

    long inForceVersion() {
        return inForce.map(ServiceConfiguration::version).orElse(0L);
    }

    /** The version after which the platform has news: the highest that is held or was refused. */
    long settledVersion() {
        return Math.max(version(), refused.map(RefusedDocument::version).orElse(0L));
    }

    /**
     * Tells whether another node's version would be news. One below a refused version may be: where an invalid document
     * is the newest at the platform, a node that has just started gets the last good one from other nodes only.
     *
     * @param other the version
     * @return whether it is newer than what is held, and not the refused one
     */
    boolean isNews(long other) {
        return other > version()
                && refused.map(RefusedDocument::version)
                        .filter(version -> version == other)
                        .isEmpty();
    }

    /**
     * Takes in a checked document.
     *
     * @param configuration its content
     * @param text its text
     * @return whether it is newer than what was held
     */
    boolean hold(ServiceConfiguration configuration, String text) {
        if (configuration.version() <= version()) {
            return false;
        }
        newest = Optional.of(configuration);
        history.add(configuration.version(), text);
        refused = refused.filter(document -> document.version() > configuration.version());
        return true;
    }

    /**
     * Takes in a document that failed the checks.
     *
     * @param document its version and faults
     * @return whether it was not known to be refused
     */
    boolean refuse(RefusedDocument document) {
        if (document.version() <= settledVersion()) {
            return false;
        }
        refused = Optional.of(document);
        return true;
    }

    /** Puts the newest version in force. */
    void bringIntoForce() {
        inForce = newest;
    }
}
