package org.carawaysill.policy.fleet.summary;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carawaysill.model.identity.OrganisationName;
import org.carawaysill.policy.message.OrganisationUse;

/**
 * Sums up what organisations used of their allowances at several nodes.
 *
 * <p>Not thread safe: owned by the policy.
 */
public final class UseSums {

    private final Map<OrganisationName, Integer> sums = new HashMap<>();

    /**
     * Adds the uses at one node, or at several that were summed up elsewhere.
     *
     * @param uses the uses
     */
    public void add(List<OrganisationUse> uses) {
        uses.forEach(use -> sums.merge(use.organisation(), use.admitted(), UseSums::sum));
    }

    /** Adds without overflow, since values received from other nodes have no bound. */
    private static int sum(int one, int other) {
        return (int) Math.min(Integer.MAX_VALUE, (long) one + other);
    }

    /**
     * Returns the sums.
     *
     * @return the sum of each organisation
     */
    public List<OrganisationUse> uses() {
        List<OrganisationUse> uses = new ArrayList<>(sums.size());
        sums.forEach((organisation, admitted) -> uses.add(new OrganisationUse(organisation, admitted)));
        return uses;
    }
}
