package org.carawaysill.model.request;

import java.util.List;
import java.util.Optional;
import org.carawaysill.model.identity.KeyDigest;

/**
 * What a request presents to show which organisation it belongs to.
 *
 * <p>Invariant: its text form shows neither keys nor fields. Immutable and thread safe.
 *
 * @param fields the header fields that carry it, for a fleet that checks no keys and passes them on; empty where the request
 *     presents nothing
 * @param key the digest of the one key in them; empty where they hold none, or more than one
 */
public record Credential(List<Header> fields, Optional<KeyDigest> key) {

    /** Nothing is presented. */
    public static final Credential NONE = new Credential(List.of(), Optional.empty());

    public Credential {
        fields = List.copyOf(fields);
    }

    /**
     * Returns whether anything is presented, readable or not.
     *
     * @return whether it is
     */
    public boolean isPresented() {
        return !fields.isEmpty();
    }

    @Override
    public String toString() {
        return "Credential[presented=" + isPresented() + ", readable=" + key.isPresent() + "]";
    }
}
