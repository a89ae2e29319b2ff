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
 * @param keys the digests of the keys that it may use now
 * @param rank the place in the order of refusal, ahead of that of routes; 0 is refused last
 * @param allowance how much it may send; empty where that is not limited
 */
public record Organisation(OrganisationName name, Set<KeyDigest> keys, int rank, Optional<Allowance> allowance) {

    /** The greatest rank; published ranks beyond it count as this one. */
    public static final int MAX_RANK = 2000;

    public Organisation {
        keys = Set.copyOf(keys);
        if (rank < 0 || rank > MAX_RANK) {
            throw new IllegalArgumentException("the rank of organisation " + name + " is out of range");
        }
    }
}
