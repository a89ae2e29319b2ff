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
 * @param admission settings of the admission to the local copy
 * @param distribution settings of the distribution of configuration
 * @param membership settings of the detection of failed nodes
 * @param routing settings of the choice of copies
 * @param lease the durations of leases, which bound how long a holder may act
 * @param holder the bounds of the table of work that must run at most once
 * @param budget the bounds of retries by caller and service
 */
public record PolicySettings(
        AdmissionSettings admission,
        DistributionSettings distribution,
        MembershipSettings membership,
        RoutingSettings routing,
        LeaseSettings lease,
        HolderSettings holder,
        RetryBudgetSettings budget) {

    /** The default settings, whose reasons are in the decision records. */
    public static final PolicySettings DEFAULTS = new PolicySettings(
            AdmissionSettings.DEFAULTS,
            DistributionSettings.DEFAULT,
            MembershipSettings.DEFAULT,
            RoutingSettings.DEFAULT,
            LeaseSettings.DEFAULTS,
            HolderSettings.DEFAULTS,
            RetryBudgetSettings.DEFAULTS);
}
