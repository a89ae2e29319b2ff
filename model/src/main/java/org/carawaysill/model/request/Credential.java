package org.carawaysill.model.request;

import java.util.List;
import java.util.Optional;
import org.carawaysill.model.identity.KeyDigest;

/**
 * The credential with which a request proves its organisation.
 *
 * <p>Invariant: its text form contains neither keys nor header fields. Immutable and thread safe.
 *
 * @param fields the header fields that contain it, forwarded by a fleet that does not check keys; empty if the request
 *     has none
 * @param key the digest of the only key in the fields; empty if they contain none or more than one
 */
public record Credential(List<Header> fields, Optional<KeyDigest> key) {

    /** No credential. */
    public static final Credential NONE = new Credential(List.of(), Optional.empty());

    public Credential {
        fields = HeaderFields.copyOf(fields);
    }

    /**
     * Returns whether the request has a credential, readable or not.
     *
     * @return whether it has
     */
    public boolean isPresented() {
        return !fields.isEmpty();
    }

    @Override
    public String toString() {
        return "Credential[presented=" + isPresented() + ", readable=" + key.isPresent() + "]";
    }
}
