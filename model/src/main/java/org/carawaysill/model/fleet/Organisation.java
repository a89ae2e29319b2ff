package org.carawaysill.model.fleet;

import java.util.Optional;
import java.util.Set;
import org.carawaysill.model.identity.KeyDigest;
import org.carawaysill.model.identity.OrganisationName;

/**
 * An organisation whose programs send requests.
 *
 * <p>Immutable and thread safe.
 *
 * @param name the operators' name for it
 * @param keys the digests of its currently valid keys
 * @param rank the rank in the order of refusal, which takes precedence over that of routes; 0 is refused last
 * @param allowance the limit on its requests; empty if there is none
 */
public record Organisation(OrganisationName name, Set<KeyDigest> keys, int rank, Optional<Allowance> allowance) {

    /** The greatest rank; greater published ranks count as this one. */
    public static final int MAX_RANK = 2000;

    public Organisation {
        keys = Set.copyOf(keys);
        if (rank < 0 || rank > MAX_RANK) {
            throw new IllegalArgumentException("the rank of organisation " + name + " is out of range");
        }
    }
}
