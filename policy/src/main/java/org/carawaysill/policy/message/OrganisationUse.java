package org.carawaysill.policy.message;

import org.carawaysill.model.identity.OrganisationName;

/**
 * The number of an organisation's requests that were admitted within the last allowance window.
 *
 * <p>Invariant: not negative. Immutable and thread safe.
 *
 * @param organisation the organisation
 * @param admitted the number of requests admitted by one node, or by several together
 */
public record OrganisationUse(OrganisationName organisation, int admitted) {

    public OrganisationUse {
        if (admitted < 0) {
            throw new IllegalArgumentException("admitted must not be negative");
        }
    }
}
