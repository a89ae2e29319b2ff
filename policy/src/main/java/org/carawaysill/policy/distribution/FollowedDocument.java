package org.carawaysill.policy.distribution;

import java.util.Optional;
import org.carawaysill.model.configuration.ServiceConfiguration;
import org.carawaysill.model.identity.ServiceName;

/**
 * A node's state of one service's document: the newest version, the version in force, and the last refused one.
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

    /** Returns the highest version that is stored or was refused; only higher ones at the platform are new. */
    long highestCheckedVersion() {
        return Math.max(version(), refused.map(RefusedDocument::version).orElse(0L));
    }

    /**
     * Returns whether another node's version is newer than the stored one and not the refused one. It may be below a
     * refused version: while an invalid document is the newest at the platform, a node that has just started gets the
     * last valid one only from other nodes.
     *
     * @param other the version
     * @return whether this node should adopt it
     */
    boolean isNewVersion(long other) {
        return other > version()
                && refused.map(RefusedDocument::version)
                        .filter(version -> version == other)
                        .isEmpty();
    }

    /**
     * Stores a valid document.
     *
     * @param configuration its content
     * @param text its text
     * @return whether it is newer than the stored one
     */
    boolean store(ServiceConfiguration configuration, String text) {
        if (configuration.version() <= version()) {
            return false;
        }
        newest = Optional.of(configuration);
        history.add(configuration.version(), text);
        refused = refused.filter(document -> document.version() > configuration.version());
        return true;
    }

    /**
     * Records a document that failed the checks.
     *
     * @param document its version and faults
     * @return whether the refusal is new
     */
    boolean refuse(RefusedDocument document) {
        if (document.version() <= highestCheckedVersion()) {
            return false;
        }
        refused = Optional.of(document);
        return true;
    }

    /** Puts the newest version in force. */
    void putInForce() {
        inForce = newest;
    }
}
