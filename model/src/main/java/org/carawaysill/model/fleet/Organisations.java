package org.carawaysill.model.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.carawaysill.model.identity.KeyDigest;
import org.carawaysill.model.identity.OrganisationName;

/**
 * The organisations of one configuration, indexed by key.
 *
 * <p>Invariants: names differ; no two organisations hold the same key. Immutable and thread safe.
 */
public final class Organisations {

    private final Map<KeyDigest, Organisation> byKey = new HashMap<>();

    /**
     * Creates the index.
     *
     * @param organisations the organisations
     * @throws IllegalArgumentException if two have the same name, or the same key
     */
    public Organisations(Collection<Organisation> organisations) {
        Set<OrganisationName> names = new HashSet<>();
        for (Organisation organisation : organisations) {
            if (!names.add(organisation.name())) {
                throw new IllegalArgumentException("two organisations are named " + organisation.name());
            }
            for (KeyDigest key : organisation.keys()) {
                Organisation other = byKey.put(key, organisation);
                if (other != null) {
                    throw new IllegalArgumentException(
                            "organisations " + other.name() + " and " + organisation.name() + " hold the same key");
                }
            }
        }
    }

    /**
     * Finds the organisation that holds a key.
     *
     * @param key the key's digest
     * @return the organisation, or empty if none holds it
     */
    public Optional<Organisation> findByKey(KeyDigest key) {
        return Optional.ofNullable(byKey.get(key));
    }
}
