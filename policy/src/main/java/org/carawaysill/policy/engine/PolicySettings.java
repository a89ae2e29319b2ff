package org.carawaysill.policy.engine;

import org.carawaysill.policy.admission.AdmissionSettings;
import org.carawaysill.policy.distribution.DistributionSettings;
import org.carawaysill.policy.membership.MembershipSettings;
import org.carawaysill.policy.ownership.HolderSettings;
import org.carawaysill.policy.ownership.LeaseSettings;
import org.carawaysill.policy.retry.RetryBudgetSettings;
import org.carawaysill.policy.routing.RoutingSettings;

/**
 * The settings of all features of the policy.
 *
 * <p>Immutable and thread safe.
 *
 * @param admission guards the local copy
 * @param distribution gets the configuration
 * @param membership watches other nodes
 * @param routing chooses copies
 * @param lease bounds how long a holder may act
 * @param holder bounds the table of work that must run at most once
 * @param budget bounds retries by caller and service
 */
public record PolicySettings(
        AdmissionSettings admission,
        DistributionSettings distribution,
        MembershipSettings membership,
        RoutingSettings routing,
        LeaseSettings lease,
        HolderSettings holder,
        RetryBudgetSettings budget) {

    /** The settings that the decision records argue for. */
    public static final PolicySettings DEFAULTS = new PolicySettings(
            AdmissionSettings.DEFAULTS,
            DistributionSettings.DEFAULT,
            MembershipSettings.DEFAULT,
            RoutingSettings.DEFAULT,
            LeaseSettings.DEFAULTS,
            HolderSettings.DEFAULTS,
            RetryBudgetSettings.DEFAULTS);
}
