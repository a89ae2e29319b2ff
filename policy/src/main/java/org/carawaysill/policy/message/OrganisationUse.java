package org.carawaysill.policy.message;

import org.carawaysill.model.identity.OrganisationName;

/**
 * How many requests of an organisation were admitted within the last window of allowances.
 *
 * <p>Invariant: not negative. Immutable and thread safe.
 *
 * @param organisation the organisation
 * @param admitted requests that one node, or several together, admitted
 */
public record OrganisationUse(OrganisationName organisation, int admitted) {

    public OrganisationUse {
        if (admitted < 0) {
            throw new IllegalArgumentException("admitted must not be negative");
        }
    }
}
