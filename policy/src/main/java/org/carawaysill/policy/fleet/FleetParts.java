package org.carawaysill.policy.fleet;

import org.carawaysill.policy.fleet.allowance.FleetAllowances;
import org.carawaysill.policy.fleet.entry.DemandMeter;
import org.carawaysill.policy.fleet.entry.EntryPlan;

/**
 * The parts of a policy that decisions about requests need.
 *
 * <p>Not thread safe, as its parts: owned by the policy.
 *
 * @param settings who the node is
 * @param effects what was decided
 * @param beliefs what is published
 * @param peers the connections to other nodes
 * @param reach which nodes may get work
 * @param suspects which requests may have crashed copies
 * @param localRuns the requests for the local copy
 * @param allowances how much organisations may send
 * @param demand what is asked of this node
 * @param plan what is admitted
 */
record FleetParts(
        FleetSettings settings,
        Effects effects,
        Beliefs beliefs,
        Peers peers,
        Reach reach,
        CrashSuspects suspects,
        LocalRuns localRuns,
        FleetAllowances allowances,
        DemandMeter demand,
        EntryPlan plan) {}
