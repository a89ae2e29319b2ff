package org.carawaysill.standin.configuration;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.carawaysill.model.identity.ServiceName;

/**
 * The published documents.
 *
 * <p>Invariant: version numbers start at 1 and rise by one with each published document, across all services. Not
 * thread safe: used on the event loop only; the returned maps and documents are immutable.
 */
final class ConfigurationStore {

    private static final long NO_VERSION = 0;

    private Map<ServiceName, PublishedDocument> documents = Map.of();
    private long lastVersion = NO_VERSION;

    /**
     * Publishes a document.
     *
     * @param service the service that it is for
     * @param text the TOML text, which is not checked
     * @param expectedVersion the version that it replaces, if the publisher wants this checked
     * @return its version, or the version of the current document if that is not the expected one
     */
    PublishResult publish(ServiceName service, String text, OptionalLong expectedVersion) {
        long current = versionOf(service);
        if (expectedVersion.isPresent() && expectedVersion.getAsLong() != current) {
            return new PublishResult.Conflict(current);
        }
        lastVersion++;
        Map<ServiceName, PublishedDocument> changed = new HashMap<>(documents);
        changed.put(service, new PublishedDocument(lastVersion, text));
        documents = Map.copyOf(changed);
        return new PublishResult.Published(lastVersion);
    }

    /**
     * Returns all current documents.
     *
     * @return an immutable snapshot
     */
    Map<ServiceName, PublishedDocument> documents() {
        return documents;
    }

    private long versionOf(ServiceName service) {
        PublishedDocument document = documents.get(service);
        return document == null ? NO_VERSION : document.version();
    }
}
